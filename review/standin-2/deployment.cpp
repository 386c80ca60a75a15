#include "deployment.h"

#include "template.h"

#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace review {

namespace {

using Json = nlohmann::json;

// Ports of every machine, as in the example of DEPLOY.md.
constexpr std::uint16_t Inbound = 8300;
constexpr std::uint16_t App = 8301;
constexpr std::uint16_t Ready = 8302;
constexpr std::uint16_t Outbound = Deployment::OutboundPort;
constexpr std::uint16_t Control = 8306;
constexpr std::uint16_t StorePort = 8309;
constexpr std::uint16_t FirstPort = 7620;
constexpr std::uint16_t LastPort = 7635;

std::string at(const std::string &Address, std::uint16_t Port) {
  return Address + ":" + std::to_string(Port);
}

std::string textOf(const std::string &Path) {
  std::ostringstream Text;
  Text << std::ifstream(Path).rdbuf();
  return Text.str();
}

std::string makeFolder() {
  std::string Path = std::filesystem::temp_directory_path() / "review-XXXXXX";
  return ::mkdtemp(Path.data()) == nullptr ? std::string() : Path;
}

// Two numbers of a loopback network that no other run is likely to use.
std::string networkOf(pid_t Process) {
  constexpr pid_t Numbers = 200;
  return "127." + std::to_string(20 + Process / Numbers % Numbers) + "." +
         std::to_string(20 + Process % Numbers) + ".";
}

} // namespace

CaseOptions readOptions(int Count, char **Arguments) {
  CaseOptions Given;
  if (Count > 2) {
    Given.Root = Arguments[1];
    Given.Folder = Arguments[2];
  }
  const char *const Trouble = std::getenv("TROUBLE");
  Given.Trouble = Trouble == nullptr || std::string(Trouble) != "0";
  return Given;
}

Deployment::Deployment(const CaseOptions &Given, Record &Lines,
                       Store::Faults Faults)
    : Options(Given), Lines(Lines), Temporary(makeFolder()),
      Network(networkOf(::getpid())), Keys(std::move(Faults)) {}

Deployment::~Deployment() {
  for (const auto &Next : Machines) {
    if (Next->Node > 0) {
      ::kill(Next->Node, SIGCONT);
      ::kill(Next->Node, SIGKILL);
      ::waitpid(Next->Node, nullptr, 0);
    }
  }
  Machines.clear();
  std::error_code Ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(Temporary, Ignored);
  } else {
    std::printf("logs in %s\n", Temporary.c_str());
  }
}

TimePoint Deployment::writeManifest(const std::vector<Route> &Routes) {
  std::array<char, 16> Version{};
  std::snprintf(Version.data(), Version.size(), "%08llx",
                static_cast<unsigned long long>(++ManifestVersion));
  Json Table = Json::object();
  std::set<std::string> Names;
  for (const Route &Next : Routes) {
    Table[Next.Name] = {
        {"host", Next.Host},
        {"path_prefix", Next.Prefix},
        {"kind", Next.Idempotent ? "idempotent" : "non_idempotent"},
        {"timeout_s", Next.TimeoutSeconds},
        {"target_latency_s", 0.5},
        {"priority", 1},
        {"service", Next.Service},
        {"max_attempts", Next.MaxAttempts}};
    Names.insert(Next.Service);
  }
  for (const auto &Next : Machines) {
    Names.insert(Next->Service);
  }
  Json Services = Json::object();
  for (const std::string &Name : Names) {
    Services[Name] = {{"health_path", "/health"}, {"max_connections", 260},
                      {"protocol", "h1"},         {"tls", false},
                      {"cold_start_s", 3.0},      {"cold_per_s", 23.0}};
  }
  const Json Manifest = {{"version", Version.data()},
                         {"routes", Table},
                         {"services", Services},
                         {"limits",
                          {{"max_header_bytes", 16384},
                           {"max_body_bytes", 67108864},
                           {"header_timeout_s", 3},
                           {"idle_timeout_s", 15}}}};
  const std::uint64_t Revision = Keys.put("op/config", Manifest.dump());
  const TimePoint Acknowledged = Clock::now();
  Lines.add("operator  manifest " + std::string(Version.data()) +
            " acknowledged at revision " + std::to_string(Revision));
  return Acknowledged;
}

bool Deployment::startStore() {
  return !Temporary.empty() && Keys.start(Network + "1", StorePort);
}

std::string Deployment::settingsOf(const Running &Given) const {
  const Json Fields = {
      {"node", "sidecar-" + Given.Address},
      {"role", "node"},
      {"machine_class", "sidecar"},
      {"serves", {"sidecar"}},
      {"ip", Given.Address},
      {"zone", Given.Zone},
      {"region", "fes"},
      {"port_range", {FirstPort, LastPort}},
      {"seeds", Json::array()},
      {"bootstrap", FirstStart},
      {"heartbeat_s", 1.5},
      {"bounds",
       {{"grace_s", 6},
        {"drain_s", 2},
        {"contact_s", 3},
        {"config_apply_s", 2},
        {"evacuate_s", 5},
        {"rollback_s", 5}}},
      {"app_addr", at(Given.Address, App)},
      {"service", Given.Service},
      {"zones", {{"fes-a", "fes"}, {"fes-b", "fes"}, {"fes-c", "fes"}}},
      {"listen",
       {{"inbound", at(Given.Address, Inbound)},
        {"outbound", at(Given.Address, Outbound)},
        {"ready", at(Given.Address, Ready)},
        {"control", at(Given.Address, Control)}}},
      {"limits",
       {{"cpu_share", 0.2},
        {"cores", 1},
        {"memory_mb", 260},
        {"max_fds", 4100},
        {"link_mbps", 1000.0},
        {"disk_mb", 0}}},
      {"platform", {{"address", at(Network + "1", StorePort)}, {"form", "kv"}}},
  };
  return fillTemplate(textOf(Options.Root + "/deploy/node.ini"), Fields);
}

bool Deployment::startNode(std::size_t Index) {
  Running &Given = *Machines.at(Index);
  const std::string Settings = Temporary + "/" + Given.Address + ".ini";
  const std::string Log = Temporary + "/" + Given.Address + ".log";
  const std::string Program =
      Options.Root + "/target/packages/daemon/magnoliad";
  std::ofstream(Settings) << settingsOf(Given);
  const pid_t Child = ::fork();
  if (Child == 0) {
    // The node ends with this process, also if that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Output =
        ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(Output, STDOUT_FILENO);
    ::dup2(Output, STDERR_FILENO);
    ::setenv("MAGNOLIATRAY_SETTINGS", Settings.c_str(), 1);
    ::execl(Program.c_str(), Program.c_str(), "--config", Settings.c_str(),
            nullptr);
    ::_exit(127);
  }
  Given.Node = Child;
  Lines.add("node      " + Given.Address + " (" + Given.Zone + ", " +
            Given.Service + ") started");
  return Child > 0;
}

std::size_t Deployment::add(const Machine &Added) {
  const std::size_t Index = Machines.size();
  auto Given = std::make_unique<Running>();
  Given->Zone = Added.Zone;
  Given->Address = Network + std::to_string(Index + 2);
  Given->Service = Added.Service;
  UpstreamOptions Server = Added.Upstream;
  Server.Address = Given->Address;
  Server.Port = App;
  Server.ControlPort = Control;
  Server.Service = Added.Service;
  Server.Version = Added.Version;
  Server.Zone = Added.Zone;
  Server.Instance = "i-" + Added.Service + "-" + std::to_string(Index);
  Given->Server = std::make_unique<Upstream>(Server, Lines);
  const bool Listens = Given->Server->start();
  Machines.push_back(std::move(Given));
  if (!Listens || !startNode(Index)) {
    Lines.add("not run   machine " + std::to_string(Index) +
              " could not be started");
  }
  return Index;
}

bool Deployment::answersReady(const Running &Given) const {
  return exchange(Given.Address, Ready,
                  {.Method = "GET",
                   .Target = "/magnoliatray/ready",
                   .Fields = {{"Host", "node"}},
                   .Body = {}},
                  Milliseconds(500))
             .Status == 200;
}

bool Deployment::awaitReady(const std::vector<Route> &Routes,
                            Milliseconds Time) {
  const TimePoint Until = Clock::now() + Time;
  for (std::size_t Index = 0; Index < Machines.size(); ++Index) {
    bool Serves = false;
    while (!Serves) {
      if (Clock::now() >= Until) {
        return false;
      }
      Serves = answersReady(*Machines[Index]);
      for (const Route &Next : Routes) {
        Serves = Serves &&
                 request(Index, Next, "GET", Milliseconds(1000)).Status == 200;
      }
      if (!Serves) {
        std::this_thread::sleep_for(Milliseconds(100));
      }
    }
  }
  FirstStart = false;
  return true;
}

void Deployment::signalNode(std::size_t Index, int Signal) {
  Running &Given = *Machines.at(Index);
  ::kill(Given.Node, Signal);
  Lines.add("node      " + Given.Address + " gets signal " +
            std::to_string(Signal));
  if (Signal == SIGKILL) {
    ::waitpid(Given.Node, nullptr, 0);
    Given.Node = -1;
  }
}

Upstream &Deployment::upstream(std::size_t Index) const {
  return *Machines.at(Index)->Server;
}

const std::string &Deployment::address(std::size_t Index) const {
  return Machines.at(Index)->Address;
}

const std::string &Deployment::zone(std::size_t Index) const {
  return Machines.at(Index)->Zone;
}

Response Deployment::request(std::size_t Index, const Route &To,
                             const std::string &Method, Milliseconds Time) {
  const std::string &Address = Machines.at(Index)->Address;
  const std::string Id = "q" + std::to_string(++Requests);
  Lines.add("sent      " + Id + " " + Method + " " + To.Prefix + " to " +
            Address);
  Response Answer =
      exchange(Address, Outbound,
               {.Method = Method,
                .Target = To.Prefix + "x",
                .Fields = {{"Host", To.Host},
                           {"Request-Id", Id},
                           {"Deadline-Ms", std::to_string(Time.count())}},
                .Body = Method == "GET" ? "" : "order"},
               Time + Milliseconds(500));
  Lines.add("answered  " + Id + " " +
            (Answer.Status == 0
                 ? Answer.Failure
                 : std::to_string(Answer.Status) + " " +
                       (Answer.Status == 200 ? Answer.Body : "")));
  return Answer;
}

} // namespace review
