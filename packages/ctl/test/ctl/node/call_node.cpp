#include "ctl/node/call_node.h"

#include "wire/control.grpc.pb.h"
#include "wire/seal/control_seal.h"

#include <gtest/gtest.h>

#include <grpcpp/grpcpp.h>

namespace magnolia::ctl {
namespace {

constexpr const char *Key = "0123456789abcdef";
constexpr const char *OtherKey = "fedcba9876543210";
constexpr std::chrono::milliseconds Timeout{5000};

// Node that responds to every authentic request with a status.
class StatusNode final : public wire::Control::Service {
public:
  explicit StatusNode(std::string ResponseKey)
      : ResponseKey(std::move(ResponseKey)) {
    grpc::ServerBuilder Builder;
    int Port = 0;
    Builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(),
                             &Port);
    Builder.RegisterService(this);
    Server = Builder.BuildAndStart();
    Address = {"127.0.0.1", static_cast<std::uint16_t>(Port)};
  }

  grpc::Status Call(grpc::ServerContext *, const wire::SealedMessage *Request,
                    wire::SealedMessage *Response) override {
    policy::Error LastError;
    const auto Body = wire::open(Key, *Request, LastError);
    if (!Body) {
      return {grpc::StatusCode::UNAUTHENTICATED, LastError.Detail};
    }
    wire::ControlBody Status;
    Status.mutable_status_answer()->set_version(Body->method());
    *Response = wire::seal(ResponseKey, Status);
    return grpc::Status::OK;
  }

  settings::HostPort Address;

private:
  std::string ResponseKey;
  std::unique_ptr<grpc::Server> Server;
};

wire::ControlBody statusRequest() {
  wire::ControlBody Request;
  Request.set_method("status");
  Request.mutable_status();
  return Request;
}

TEST(CallNode, ReturnsTheResponse) {
  const StatusNode Node(Key);
  policy::Error Error;
  const auto Response =
      grpcNodeCaller(Key)(Node.Address, statusRequest(), Timeout, Error);
  ASSERT_TRUE(Response) << Error.Detail;
  EXPECT_EQ(Response->status_answer().version(), "status");
}

// Guards against a response from an unauthenticated sender that is accepted,
// and against an error that does not name the node.
TEST(CallNode, RejectsWhatIsNotAuthentic) {
  const StatusNode Honest(Key);
  const StatusNode Impostor(OtherKey);
  policy::Error Error;
  EXPECT_FALSE(grpcNodeCaller(OtherKey)(Honest.Address, statusRequest(),
                                        Timeout, Error));
  EXPECT_NE(Error.Detail.find(toString(Honest.Address)), std::string::npos);
  EXPECT_FALSE(
      grpcNodeCaller(Key)(Impostor.Address, statusRequest(), Timeout, Error));
  EXPECT_NE(Error.Detail.find(toString(Impostor.Address)), std::string::npos);
}

} // namespace
} // namespace magnolia::ctl
