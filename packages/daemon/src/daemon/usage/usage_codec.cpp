#include "daemon/usage/usage_codec.h"

#include <algorithm>
#include <chrono>
#include <wire/control.pb.h>

namespace magnolia::daemon {

namespace {

using std::chrono::microseconds;

} // namespace

void toWire(const policy::UsageMessage &Message, wire::UsageRequest &Request) {
  Request.set_node(Message.Node);
  Request.set_incarnation(Message.Run);
  Request.set_sequence(Message.Sequence);
  Request.set_wall_us(
      std::chrono::duration_cast<microseconds>(Message.Wall.time_since_epoch())
          .count());
  Request.set_closed(Message.Closed);
  for (const policy::WindowCounts &Next : Message.Windows) {
    wire::UsageWindow &Added = *Request.add_windows();
    Added.set_window(Next.Window);
    Added.mutable_counts()->insert(Next.Counts.begin(), Next.Counts.end());
  }
}

policy::UsageMessage fromWire(const wire::UsageRequest &Request) {
  policy::UsageMessage Message{
      .Node = Request.node(),
      .Run = Request.incarnation(),
      .Sequence = Request.sequence(),
      .Wall = policy::TimePoint(microseconds(Request.wall_us())),
      .Closed = Request.closed()};
  for (const wire::UsageWindow &Next : Request.windows()) {
    if (Message.Windows.size() == policy::MaxKeptWindows) {
      break;
    }
    Message.Windows.push_back(
        {.Window = Next.window(),
         .Counts = {Next.counts().begin(), Next.counts().end()}});
  }
  return Message;
}

void toWire(const policy::DutyFacts &Facts, bool Holds, wire::DutyFacts &Sent) {
  Sent.set_holder(Facts.Holder);
  Sent.set_token(Facts.Token);
  Sent.set_recorded(Facts.Recorded);
  Sent.set_holds(Holds);
}

policy::DutyFacts fromWire(const wire::DutyFacts &Sent) {
  return {.Holder = Sent.holder(),
          .Token = Sent.token(),
          .Recorded = Sent.recorded()};
}

} // namespace magnolia::daemon
