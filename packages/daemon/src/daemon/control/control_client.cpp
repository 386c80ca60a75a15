#include "daemon/control/control_client.h"

#include "policy/core/error.h"
#include "wire/seal/control_seal.h"

#include <algorithm>
#include <chrono>
#include <grpcpp/grpcpp.h>
#include <wire/control.grpc.pb.h>

namespace magnolia::daemon {

namespace {

constexpr int MaximumCallsInFlight = 64;
constexpr std::size_t MaximumChannels = 16;
constexpr int MaximumMessageBytes = 8 << 20;

// State of one call. It exists until the callback has run.
struct PendingCall {
  grpc::ClientContext Context;
  std::shared_ptr<grpc::Channel> Channel;
  std::unique_ptr<wire::Control::Stub> Stub;
  wire::SealedMessage Request;
  wire::SealedMessage Response;
};

} // namespace

ControlClient::ControlClient(std::string ClusterKey, policy::NodeId Self)
    : ClusterKey(std::move(ClusterKey)), Self(Self) {}

ControlClient::~ControlClient() {
  {
    const std::lock_guard Lock(Mutex);
    for (grpc::ClientContext *const Context : LongCalls) {
      Context->TryCancel();
    }
  }
  for (int Pending = InFlight; Pending != 0; Pending = InFlight) {
    InFlight.wait(Pending);
  }
  releaseRetired();
}

void ControlClient::retire(std::shared_ptr<void> Call,
                           const grpc::ClientContext *Context) {
  const std::lock_guard Lock(Mutex);
  std::erase(LongCalls, Context);
  Retired.push_back(std::move(Call));
}

void ControlClient::releaseRetired() {
  std::vector<std::shared_ptr<void>> Ended;
  const std::lock_guard Lock(Mutex);
  Ended.swap(Retired);
}

void ControlClient::call(const ControlEndpoint &Target, wire::ControlBody Body,
                         ControlCallback Callback, policy::Duration Timeout) {
  releaseRetired();
  if (InFlight.fetch_add(1) >= MaximumCallsInFlight) {
    InFlight.fetch_sub(1);
    ++Refused;
    Callback(std::nullopt);
    return;
  }
  Body.set_from(Self);
  auto Call = std::make_shared<PendingCall>();
  Call->Channel = channelTo(Target);
  Call->Stub = wire::Control::NewStub(Call->Channel);
  Call->Request = wire::seal(ClusterKey, Body);
  Call->Context.set_deadline(
      std::chrono::system_clock::now() +
      std::chrono::duration_cast<std::chrono::system_clock::duration>(Timeout));
  BytesSent += Call->Request.ByteSizeLong();
  auto *const Started = Call.get();
  if (Timeout > ControlCallTimeout) {
    const std::lock_guard Lock(Mutex);
    LongCalls.push_back(&Started->Context);
  }
  Started->Stub->async()->Call(
      &Started->Context, &Started->Request, &Started->Response,
      [this, Call = std::move(Call),
       Callback = std::move(Callback)](const grpc::Status &Status) {
        policy::Error LastError;
        std::optional<wire::ControlBody> Response;
        if (Status.ok()) {
          Response = wire::open(ClusterKey, Call->Response, LastError);
        }
        Callback(std::move(Response));
        retire(Call, &Call->Context);
        InFlight.fetch_sub(1);
        InFlight.notify_all();
      });
}

std::shared_ptr<grpc::Channel>
ControlClient::channelTo(const ControlEndpoint &Target) {
  const std::lock_guard Lock(Mutex);
  const auto Found =
      std::find_if(Channels.begin(), Channels.end(),
                   [&](const auto &Entry) { return Entry.first == Target; });
  if (Found != Channels.end()) {
    Channels.splice(Channels.begin(), Channels, Found);
    return Channels.front().second;
  }
  grpc::ChannelArguments Arguments;
  Arguments.SetMaxReceiveMessageSize(MaximumMessageBytes);
  Arguments.SetMaxSendMessageSize(MaximumMessageBytes);
  // Reconnects soon after a node has restarted.
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
  Channels.emplace_front(
      Target, grpc::CreateCustomChannel(
                  "ipv4:" + Target.Address + ":" + std::to_string(Target.Port),
                  grpc::InsecureChannelCredentials(), Arguments));
  if (Channels.size() > MaximumChannels) {
    Channels.pop_back();
  }
  return Channels.front().second;
}

} // namespace magnolia::daemon
