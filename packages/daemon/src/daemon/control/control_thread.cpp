#include "daemon/control/control_thread.h"

#include "daemon/control/internal/control_core.h"

#include <chrono>
#include <future>
#include <utility>

namespace magnolia::daemon {

namespace {

constexpr std::chrono::seconds DumpTimeout{2};

} // namespace

class ControlThread::Implementation : public internal::ControlCore {
public:
  using ControlCore::ControlCore;
};

std::unique_ptr<ControlThread> ControlThread::start(ControlOptions Options,
                                                    Links Shared,
                                                    policy::Error &LastError) {
  auto Started = std::make_unique<Implementation>(std::move(Options), Shared);
  if (!Started->open(LastError)) {
    return nullptr;
  }
  return std::unique_ptr<ControlThread>(new ControlThread(std::move(Started)));
}

ControlThread::ControlThread(std::unique_ptr<Implementation> Started)
    : Running(std::move(Started)) {}

ControlThread::~ControlThread() { Running->stop(); }

void ControlThread::announceDraining() {
  Running->queue().post([this] { Running->announceDraining(); });
}

void ControlThread::announceLeft() {
  std::promise<void> Sent;
  std::future<void> Done = Sent.get_future();
  if (Running->queue().post([this, &Sent] {
        Running->announceLeft();
        Sent.set_value();
      })) {
    Done.wait();
  }
}

std::string ControlThread::dump() {
  const auto Response = std::make_shared<std::promise<std::string>>();
  std::future<std::string> Ready = Response->get_future();
  if (!Running->queue().post(
          [this, Response] { Response->set_value(Running->dump()); }) ||
      Ready.wait_for(DumpTimeout) != std::future_status::ready) {
    return R"({"error":"the control thread did not answer in time"})";
  }
  return Ready.get();
}

std::string ControlThread::metrics() { return Running->metrics(); }

} // namespace magnolia::daemon
