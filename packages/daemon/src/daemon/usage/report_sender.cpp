#include "daemon/usage/report_sender.h"

#include "daemon/http/reader.h"
#include "daemon/net/clock.h"
#include "daemon/net/socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace magnolia::daemon {

namespace {

constexpr std::size_t MaxReports = 4;
// Longest wait for a connection and for a response.
constexpr policy::Duration ConnectTimeout = std::chrono::milliseconds(500);
constexpr policy::Duration ResponseTimeout = std::chrono::milliseconds(1500);
constexpr std::chrono::minutes IdlePoll{1};
constexpr std::size_t MaxResponseBytes = 65'536;

ReportResult retry(std::string Reason) {
  return {.Outcome = policy::SendOutcome::Retry, .Reason = std::move(Reason)};
}

// Lets the kernel drop the bytes that were not acknowledged in this time, also
// while the process is stopped, and those that are left when the socket is
// closed.
void dropLateBytes(int Fd, policy::Duration Left) {
  const auto Ms = static_cast<unsigned>(std::max<std::int64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Left).count(), 1));
  (void)::setsockopt(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &Ms, sizeof(Ms));
  const linger Reset{.l_onoff = 1, .l_linger = 0};
  (void)::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
}

void closeInOrder(int Fd) {
  const linger Off{};
  (void)::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Off, sizeof(Off));
}

ReportResult readResponse(int Fd, std::string_view Method) {
  constexpr std::uint16_t TooManyRequests = 429;
  constexpr std::uint16_t RequestTimeout = 408;
  const policy::TimePoint Deadline = now() + ResponseTimeout;
  HttpReader Reader(
      HttpReader::Kind::Response,
      {.HeadBytes = MaxResponseBytes, .BodyBytes = MaxResponseBytes});
  Reader.begin(Method);
  HttpReadStatus Read = HttpReadStatus::NeedMore;
  while (Read == HttpReadStatus::NeedMore) {
    const auto Count = receiveSome(Fd, Reader.prepare());
    if (Count == ConnectionClosed) {
      Read = Reader.finish();
      break;
    }
    if (Count < 0 || (Count == 0 && !waitReadable(Fd, Deadline))) {
      return retry("no response");
    }
    Reader.commit(static_cast<std::size_t>(Count));
    Read = Count > 0 ? Reader.read() : Read;
  }
  if (Read != HttpReadStatus::Ready) {
    return retry("the response cannot be read");
  }
  closeInOrder(Fd);
  const std::uint16_t Status = Reader.takeResponse().Status;
  constexpr int Hundred = 100;
  ReportResult Result{.Outcome = policy::SendOutcome::Refused,
                      .Status = Status};
  if (Status / Hundred == 2) {
    Result.Outcome = policy::SendOutcome::Accepted;
  } else if (Status / Hundred == 5 || Status == TooManyRequests ||
             Status == RequestTimeout) {
    Result.Outcome = policy::SendOutcome::Retry;
  }
  return Result;
}

} // namespace

ReportSender::ReportSender(std::string Address, std::uint16_t Port, Clock Time)
    : Address(std::move(Address)), Port(Port), Time(std::move(Time)),
      Jobs(MaxReports), Runner([this] {
        while (Jobs.runFor(std::chrono::steady_clock::now() + IdlePoll)) {
        }
      }) {}

ReportSender::~ReportSender() {
  Jobs.close();
  Runner.join();
}

bool ReportSender::submit(HttpRequest Report, policy::TimePoint Until,
                          Handler Done) {
  return Jobs.post([this, Report = std::move(Report), Until,
                    Done = std::move(Done)] { Done(send(Report, Until)); });
}

ReportResult ReportSender::send(const HttpRequest &Report,
                                policy::TimePoint Until) const {
  if (Time() >= Until) {
    return retry("the lease is over");
  }
  const UniqueFd Fd = connectTcp(Address, Port, now() + ConnectTimeout);
  if (!Fd.valid()) {
    return retry("no connection");
  }
  const std::string Head = requestHead(
      Report, Address + ":" + std::to_string(Port), Report.Body.size());
  // The connection may have taken long, or the instance may have been
  // suspended.
  const policy::Duration Left = Until - Time();
  if (Left <= policy::Duration::zero()) {
    return retry("the lease is over");
  }
  dropLateBytes(Fd.fd(), Left);
  if (!sendAll(Fd.fd(), Head, Report.Body, now() + Left)) {
    return retry("the connection broke");
  }
  return readResponse(Fd.fd(), Report.Method);
}

} // namespace magnolia::daemon
