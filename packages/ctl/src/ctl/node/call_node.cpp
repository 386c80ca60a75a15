#include "ctl/node/call_node.h"

#include "wire/control.grpc.pb.h"
#include "wire/seal/control_seal.h"

#include <grpcpp/grpcpp.h>

#include <utility>

namespace magnolia::ctl {
namespace {

// Adds space for the authentication tag and the encoding of the body.
constexpr int MaxMessageSize = static_cast<int>(wire::MaxSealedBody) + 4096;

} // namespace

NodeCaller grpcNodeCaller(std::string ClusterKey) {
  return [Key = std::move(ClusterKey)](
             const settings::HostPort &Node, const wire::ControlBody &Request,
             std::chrono::milliseconds Timeout,
             policy::Error &LastError) -> std::optional<wire::ControlBody> {
    grpc::ChannelArguments Arguments;
    Arguments.SetMaxReceiveMessageSize(MaxMessageSize);
    // Calls go to the given address only, never through a proxy.
    Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    const auto Stub = wire::Control::NewStub(grpc::CreateCustomChannel(
        toString(Node), grpc::InsecureChannelCredentials(), Arguments));
    grpc::ClientContext Call;
    Call.set_deadline(std::chrono::system_clock::now() + Timeout);
    wire::SealedMessage Response;
    const grpc::Status Status =
        Stub->Call(&Call, wire::seal(Key, Request), &Response);
    if (!Status.ok()) {
      LastError = {policy::ErrorKind::Internal,
                   "node " + toString(Node) + ": " + Status.error_message()};
      return std::nullopt;
    }
    auto Body = wire::open(Key, Response, LastError);
    if (!Body) {
      LastError.Detail.insert(0, "node " + toString(Node) + ": ");
    }
    return Body;
  };
}

std::string toString(const settings::HostPort &Node) {
  return Node.Address + ":" + std::to_string(Node.Port);
}

} // namespace magnolia::ctl
