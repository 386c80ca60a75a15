#include "spread_model_calls.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace magnolia::policy::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using Index = std::size_t;

// Headers and authentication of one message of a call.
constexpr std::size_t MessageBytes = 200;
constexpr Duration Latency = milliseconds(1);
// Processor time of an ordinary node for a message and each byte of it.
constexpr Duration MessageCost = nanoseconds(200'000);
constexpr Duration ByteCost = nanoseconds(10);

Duration scaled(Duration Base, double Factor) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::nano>(Base) * Factor);
}

Duration transferTime(std::size_t Bytes, double BytesPerSecond) {
  return scaled(std::chrono::seconds(1),
                static_cast<double>(Bytes) / BytesPerSecond);
}

// Transfers a message over both links. It is lost, with the bytes sent so far,
// if it does not arrive before the deadline of its call.
void transfer(SpreadModel &Model, Index From, Index To, std::size_t Content,
              TimePoint Deadline, std::function<void()> OnArrival) {
  const std::size_t Bytes = Content + MessageBytes;
  ModelNode &Sender = Model.Nodes[From];
  ModelNode &Receiver = Model.Nodes[To];
  const TimePoint Start = std::max(Model.Now, Sender.UpFree);
  const TimePoint Begin = std::max(Start, Receiver.DownFree);
  if (Begin >= Deadline || Sender.Stopped || Receiver.Stopped) {
    return;
  }
  const TimePoint Sent = Start + transferTime(Bytes, Sender.LinkBytesPerSecond);
  const TimePoint End =
      std::max(Sent, Begin + transferTime(Bytes, Receiver.LinkBytesPerSecond));
  Sender.UpFree = std::min(Sent, Deadline);
  Receiver.DownFree = std::min(End, Deadline);
  if (End > Deadline) {
    Receiver.BytesReceived +=
        static_cast<double>(Bytes) *
        (std::chrono::duration<double>(Deadline - Begin) / (End - Begin));
    return;
  }
  Receiver.BytesReceived += static_cast<double>(Bytes);
  at(Model, End + Latency,
     [&Model, To, Bytes, OnArrival = std::move(OnArrival)] {
       process(Model, To,
               MessageCost + ByteCost * static_cast<std::int64_t>(Bytes),
               OnArrival);
     });
}

} // namespace

void at(SpreadModel &Model, TimePoint Time, std::function<void()> Work) {
  Model.Events.emplace(Time, std::move(Work));
}

void process(SpreadModel &Model, Index Node, Duration Cost,
             std::function<void()> Work) {
  ModelNode &Own = Model.Nodes[Node];
  Own.ProcessorFree =
      std::max(Own.ProcessorFree, Model.Now) + scaled(Cost, Own.Slowness);
  at(Model, Own.ProcessorFree, std::move(Work));
}

void call(SpreadModel &Model, Index From, Index To, std::size_t RequestBytes,
          Duration Timeout, std::function<Response()> Serve,
          std::function<void()> OnFailure) {
  const TimePoint Deadline = Model.Now + Timeout;
  const auto Ended = std::make_shared<bool>(false);
  transfer(Model, From, To, RequestBytes, Deadline,
           [&Model, From, To, Deadline, Ended, Serve = std::move(Serve)] {
             Response Made = Serve();
             transfer(Model, To, From, Made.Bytes, Deadline,
                      [&Model, Deadline, Ended,
                       OnArrival = std::move(Made.OnArrival)] {
                        if (!*Ended && OnArrival && Model.Now <= Deadline) {
                          *Ended = true;
                          OnArrival();
                        }
                      });
           });
  if (OnFailure) {
    at(Model, Deadline, [Ended, OnFailure = std::move(OnFailure)] {
      if (!*Ended) {
        *Ended = true;
        OnFailure();
      }
    });
  }
}

} // namespace magnolia::policy::test
