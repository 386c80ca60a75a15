#include "settings_files.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace magnolia::bench {

namespace {

std::string contacts(const Deployment &Planned) {
  std::string Text;
  for (const auto &Zone : Planned.Zones) {
    for (const auto &Instance : Planned.Instances) {
      if (Instance.AvailabilityZone == Zone) {
        Text += (Text.empty() ? "" : ",") + Instance.Address + ':' +
                std::to_string(GossipPort);
        break;
      }
    }
  }
  return Text;
}

} // namespace

std::string nodeSettings(const Deployment &Planned,
                         const InstancePlan &Instance,
                         const std::filesystem::path &Folder,
                         bool StaticRoutes) {
  std::ostringstream Text;
  Text << "[node]\naddress = " << Instance.Address
       << "\nhttp_port = " << HttpPort << "\npeer_port = " << PeerPort
       << "\ncontrol_port = " << ControlPort << "\ngossip_port = " << GossipPort
       << "\nregion = " << Planned.Region
       << "\nzone = " << Instance.AvailabilityZone
       << "\ncluster_key_file = " << (Folder / "cluster.key").string()
       << "\n\n[backend]\naddress = " << Instance.Address
       << "\nport = " << BackendPort << "\nservice = " << Instance.Service
       << "\nversion = " << Instance.Version << "\nslots = " << Planned.Slots
       << "\nconnections = " << Planned.Connections
       << "\nhealth_path = /health\nload_path = /load\n"
       << "\n[store]\naddress = " << Planned.StoreAddress
       << "\nport = " << StorePort
       << "\n\n[contacts]\nnodes = " << contacts(Planned)
       << "\n\n[log]\nlevel = info\nfile = "
       << (Folder / (Instance.Address + ".log")).string() << '\n';
  if (StaticRoutes) {
    Text << "\n[static]\n";
    int Number = 0;
    for (const auto &Other : Planned.Instances) {
      Text << "service." << Number++ << " = " << Other.Service << ','
           << Other.Address << ',' << PeerPort << ',' << Other.AvailabilityZone
           << ',' << Other.Version << '\n';
    }
  }
  return Text.str();
}

std::string serviceFile(const std::string &Service, int Edition) {
  std::ostringstream Text;
  Text
      << "[service]\nversion = 1\nname = " << Service
      << "\n\n[route /browse]\nidempotent = true\n"
         "timeout_ms = "
      << 3000 + Edition
      << "\n\n[route /stock]\nidempotent = true\n"
         "timeout_ms = 3000\n"
         "\n[route /hold]\nidempotent = false\n"
         "timeout_ms = 3000\n"
         "\n[limits]\nretry_ratio = 0.1\nprobe_ratio = 0.01\nprobe_floor = 5\n";
  return Text.str();
}

void writeFile(const std::filesystem::path &File, const std::string &Text) {
  std::ofstream Out(File);
  Out << Text;
  if (!Out.flush()) {
    throw std::runtime_error("cannot write " + File.string());
  }
}

} // namespace magnolia::bench
