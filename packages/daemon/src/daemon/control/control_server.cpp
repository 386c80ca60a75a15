#include "daemon/control/control_server.h"

#include "policy/core/error.h"
#include "wire/seal/control_seal.h"

#include <chrono>
#include <grpcpp/grpcpp.h>
#include <utility>
#include <wire/control.grpc.pb.h>

namespace magnolia::daemon {

namespace {

constexpr int MaximumMessageBytes = 8 << 20;
constexpr std::chrono::milliseconds ShutdownLimit{500};

} // namespace

class ControlServer::Service final : public wire::Control::CallbackService {
public:
  Service(std::string ClusterKey, ControlHandler Handler)
      : ClusterKey(std::move(ClusterKey)), Handler(std::move(Handler)) {}

  grpc::ServerUnaryReactor *Call(grpc::CallbackServerContext *Context,
                                 const wire::SealedMessage *Request,
                                 wire::SealedMessage *Response) override {
    grpc::ServerUnaryReactor *const Reactor = Context->DefaultReactor();
    BytesReceived += Request->ByteSizeLong();
    policy::Error LastError;
    std::optional<wire::ControlBody> Body =
        wire::open(ClusterKey, *Request, LastError);
    if (!Body) {
      ++Refused;
      Reactor->Finish({grpc::StatusCode::UNAUTHENTICATED, LastError.Detail});
      return Reactor;
    }
    const bool Accepted =
        Handler(std::move(*Body),
                [this, Reactor, Response](const wire::ControlBody &Sent) {
                  *Response = wire::seal(ClusterKey, Sent);
                  BytesSent += Response->ByteSizeLong();
                  Reactor->Finish(grpc::Status::OK);
                });
    if (!Accepted) {
      ++Refused;
      Reactor->Finish(
          {grpc::StatusCode::RESOURCE_EXHAUSTED, "the control queue is full"});
    }
    return Reactor;
  }

  const std::string ClusterKey;
  const ControlHandler Handler;
  std::atomic<std::uint64_t> Refused = 0;
  std::atomic<std::uint64_t> BytesReceived = 0;
  std::atomic<std::uint64_t> BytesSent = 0;
};

std::unique_ptr<ControlServer>
ControlServer::open(const ControlEndpoint &Listen, std::string ClusterKey,
                    ControlHandler Handler, policy::Error &LastError) {
  std::unique_ptr<ControlServer> Result(new ControlServer(
      std::make_unique<Service>(std::move(ClusterKey), std::move(Handler))));
  grpc::ServerBuilder Builder;
  int Port = 0;
  Builder.AddListeningPort(Listen.Address + ":" + std::to_string(Listen.Port),
                           grpc::InsecureServerCredentials(), &Port);
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.SetMaxReceiveMessageSize(MaximumMessageBytes);
  Builder.RegisterService(Result->Implementation.get());
  Result->Server = Builder.BuildAndStart();
  if (!Result->Server || Port == 0) {
    LastError = {policy::ErrorKind::Internal, "cannot serve gRPC on " +
                                                  Listen.Address + ":" +
                                                  std::to_string(Listen.Port)};
    return nullptr;
  }
  return Result;
}

ControlServer::ControlServer(std::unique_ptr<Service> Implementation)
    : Implementation(std::move(Implementation)) {}

ControlServer::~ControlServer() {
  if (Server) {
    Server->Shutdown(std::chrono::system_clock::now() + ShutdownLimit);
    Server->Wait();
  }
}

std::uint64_t ControlServer::refused() const { return Implementation->Refused; }

std::uint64_t ControlServer::bytesReceived() const {
  return Implementation->BytesReceived;
}

std::uint64_t ControlServer::bytesSent() const {
  return Implementation->BytesSent;
}

} // namespace magnolia::daemon
