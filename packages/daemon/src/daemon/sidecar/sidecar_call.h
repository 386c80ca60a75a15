#ifndef DAEMON_SIDECAR_SIDECAR_CALL_H
#define DAEMON_SIDECAR_SIDECAR_CALL_H

#include "daemon/peer/call.h"
#include "daemon/sidecar/sidecar.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace magnolia::daemon {

// One request at the sidecar, from admission to the answer of the backend
// server, without blocking in between. The entry node uses it directly where
// it chooses its own backend server.
class SidecarCall {
public:
  SidecarCall(Sidecar &Owner, CallRequest Given);
  // Cancels the request where it is not done.
  ~SidecarCall();
  SidecarCall(const SidecarCall &) = delete;
  SidecarCall &operator=(const SidecarCall &) = delete;

  void start(policy::TimePoint Now);
  void advance(policy::TimePoint Now);
  // Ends the request at once with an error of this kind.
  void cancel(policy::ErrorKind Kind, policy::TimePoint Now);

  [[nodiscard]] bool done() const { return Step == Stage::Done; }
  // Descriptor that becomes ready for these events of poll when advance has
  // something to do.
  [[nodiscard]] int fd() const;
  [[nodiscard]] short events() const;
  [[nodiscard]] policy::TimePoint nextCheck() const;
  [[nodiscard]] const CallRequest &request() const { return Request; }
  // Valid once done.
  [[nodiscard]] CallAnswer &answer() { return Answer; }

private:
  enum class Stage : std::uint8_t { New, Waiting, Running, Done };

  void run(policy::TimePoint Now);
  [[nodiscard]] bool connect(policy::TimePoint Now);
  // Starts to send the request to the backend server, and goes on with it. A
  // broken connection shows when the answer is read.
  void send(policy::TimePoint Now);
  void sendMore();
  void readAnswer(policy::TimePoint Now);
  // False where the answer was to an earlier request and the own one is still
  // to come.
  [[nodiscard]] bool takeAnswer(policy::TimePoint Now);
  [[nodiscard]] bool isOthers(const HttpResponse &Response) const;
  // Kind of a refusal by which the backend server states that it did not run
  // the request.
  [[nodiscard]] std::optional<policy::ErrorKind>
  refusalIn(const HttpResponse &Response) const;
  void answerBroken(policy::TimePoint Now, std::string Reason);
  void answerTooLarge(policy::TimePoint Now);
  void refuseBeforeRun(policy::ErrorKind Kind, std::string Detail,
                       policy::TimePoint Now);
  void finish(CallAnswer Ended);
  void logRefusal(policy::ErrorKind Kind) const;
  [[nodiscard]] HttpRequest backendRequest(policy::TimePoint Now);

  Sidecar &Owner;
  CallRequest Request;
  Stage Step = Stage::New;
  std::shared_ptr<SlotWait> Wait;
  std::unique_ptr<BackendConnection> Connection;
  // Id that the backend server repeats in its answer.
  std::string SentId;
  // Head of the request, and what of head and body is still to be sent.
  std::string Head;
  std::string_view HeadLeft;
  std::string_view BodyLeft;
  bool HeardBackend = false;
  // True while the request is among those that the backend server runs.
  bool Registered = false;
  policy::TimePoint Arrived{};
  policy::TimePoint Sent{};
  CallAnswer Answer;
};

} // namespace magnolia::daemon

#endif
