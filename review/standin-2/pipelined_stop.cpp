#include "deployment.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <set>

// A node gets SIGTERM while it serves clients that send a second request
// before they have read the response to the first, and that read slowly.

namespace {

using namespace review;

// Largest response and time budget of picking-lookup in the site file, and a
// window of a client that reads slowly.
constexpr std::size_t ResponseBytes = 30'000;
constexpr auto Budget = Milliseconds(2500);
constexpr int WindowBytes = 8192;
constexpr std::size_t ReadBytes = 2048;
constexpr auto ReadPause = Milliseconds(25);

constexpr auto Work = Milliseconds(600);
constexpr auto UntilStop = Milliseconds(200);
constexpr auto UntilSecond = Milliseconds(300);
constexpr auto StartTime = Milliseconds(40'000);
constexpr int Clients = 8;

int connectWithSmallWindow(const std::string &Address) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &WindowBytes, sizeof WindowBytes);
  sockaddr_in Remote{};
  Remote.sin_family = AF_INET;
  Remote.sin_port = htons(Deployment::OutboundPort);
  inet_pton(AF_INET, Address.c_str(), &Remote.sin_addr);
  return ::connect(Socket, reinterpret_cast<const sockaddr *>(&Remote),
                   sizeof Remote) == 0
             ? Socket
             : -1;
}

struct Outcome {
  std::string Id;
  std::string Answer;
  bool Complete = false;
};

// Reads the first response in small pieces until it is complete or the
// connection ends.
Outcome readSlowly(int Socket, const std::string &Id) {
  Outcome Seen{.Id = Id, .Answer = {}, .Complete = false};
  std::string Bytes;
  const TimePoint Until = Clock::now() + Budget;
  for (;;) {
    const std::size_t Head = Bytes.find("\r\n\r\n");
    if (Head != std::string::npos && Bytes.size() >= Head + ResponseBytes) {
      Seen.Complete = true;
      Seen.Answer = Bytes.substr(0, Bytes.find("\r\n")) + ", complete";
      return Seen;
    }
    std::array<char, ReadBytes> Space{};
    const ssize_t Count = waitForInput(Socket, Until)
                              ? ::recv(Socket, Space.data(), Space.size(), 0)
                              : -1;
    if (Count <= 0) {
      Seen.Answer = Bytes.substr(0, Bytes.find("\r\n")) + ", " +
                    std::to_string(Bytes.size()) + " bytes, then " +
                    (Count == 0 ? "closed" : "reset");
      return Seen;
    }
    Bytes.append(Space.data(), static_cast<std::size_t>(Count));
    std::this_thread::sleep_for(ReadPause);
  }
}

Outcome runClient(Deployment &Fleet, const Route &Lookup, int Number,
                  TimePoint Start, Record &Lines) {
  const std::string Id = "first-" + std::to_string(Number);
  const Connection Open(connectWithSmallWindow(Fleet.address(0)));
  const auto Send = [&](const std::string &Sent) {
    (void)Open.send(bytesOf(
        Request{.Method = "GET",
                .Target = Lookup.Prefix + "x",
                .Fields = {{"Host", Lookup.Host},
                           {"Request-Id", Sent},
                           {"Deadline-Ms", std::to_string(Budget.count())}},
                .Body = {}}));
    Lines.add("sent      " + Sent + " to " + Fleet.address(0));
  };
  Send(Id);
  std::this_thread::sleep_until(Start + UntilSecond);
  Send("second-" + std::to_string(Number));
  std::this_thread::sleep_until(Start + Work);
  Outcome Seen = readSlowly(Open.fd(), Id);
  Lines.add("answered  " + Id + " " + Seen.Answer);
  return Seen;
}

Verdict check(Deployment &Fleet, bool Trouble, Record &Lines) {
  const Route Lookup{
      .Name = "r-lookup", .Prefix = "/lookup/", .Service = "rowbook"};
  if (!Fleet.startStore()) {
    return Verdict::NotRun;
  }
  Fleet.writeManifest({Lookup});
  for (const char *Zone : {"fes-a", "fes-b", "fes-c"}) {
    Machine Added{.Zone = Zone, .Service = "rowbook"};
    Added.Upstream.Work = Work;
    Added.Upstream.BodyBytes = ResponseBytes;
    (void)Fleet.add(Added);
  }
  if (!Fleet.awaitReady({Lookup}, StartTime)) {
    Lines.add("not run   the deployment did not become ready");
    return Verdict::NotRun;
  }
  // No unplanned disturbance in contact_s before the requests.
  std::this_thread::sleep_for(Milliseconds(3500));
  const TimePoint Start = Clock::now();
  std::vector<Outcome> Outcomes(Clients);
  std::vector<std::thread> Threads;
  Threads.reserve(Clients);
  for (int Number = 0; Number < Clients; ++Number) {
    Threads.emplace_back([&, Number] {
      Outcomes[static_cast<std::size_t>(Number)] =
          runClient(Fleet, Lookup, Number, Start, Lines);
    });
  }
  std::this_thread::sleep_until(Start + UntilStop);
  if (Trouble) {
    Fleet.signalNode(0, SIGTERM);
  }
  for (std::thread &Next : Threads) {
    Next.join();
  }
  std::set<std::string> Ran;
  for (std::size_t I = 0; I < Fleet.size(); ++I) {
    for (const Run &Next : Fleet.upstream(I).runs()) {
      Ran.insert(Next.RequestId);
    }
  }
  int Passed = 0;
  int Lost = 0;
  for (const Outcome &Next : Outcomes) {
    Passed += Ran.contains(Next.Id) ? 1 : 0;
    Lost += Ran.contains(Next.Id) && !Next.Complete ? 1 : 0;
  }
  Lines.add("result    of " + std::to_string(Passed) +
            " first requests that were passed on to an upstream " +
            std::to_string(Lost) + " ended without a complete answer");
  if (Passed == 0) {
    return Verdict::NotRun;
  }
  return Lost > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int Count, char **Arguments) {
  const CaseOptions Given = readOptions(Count, Arguments);
  if (Given.Root.empty()) {
    return static_cast<int>(Verdict::NotRun);
  }
  Record Lines(Given.Folder + "/record.txt");
  Deployment Fleet(Given, Lines, {});
  return static_cast<int>(check(Fleet, Given.Trouble, Lines));
}
