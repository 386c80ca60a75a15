#include "store/client/http_store.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <functional>
#include <string>
#include <thread>

namespace magnolia::store {
namespace {

constexpr std::chrono::milliseconds Timeout{5000};
constexpr std::size_t SmallLimit = 4096;

// HTTP server that sends one fixed response to every call.
class FixedResponse {
public:
  FixedResponse(int Status, const std::string &Body) {
    const auto Send = [Status, Body](const httplib::Request &,
                                     httplib::Response &Response) {
      Response.status = Status;
      Response.set_content(Body, "application/json");
    };
    Server.Get(".*", Send).Put(".*", Send).Post(".*", Send);
    Port = static_cast<std::uint16_t>(Server.bind_to_any_port("127.0.0.1"));
    Thread = std::thread([this] { Server.listen_after_bind(); });
    while (!Server.is_running())
      std::this_thread::yield();
  }
  ~FixedResponse() {
    Server.stop();
    Thread.join();
  }
  std::uint16_t Port = 0;

private:
  httplib::Server Server;
  std::thread Thread;
};

using Call = std::function<bool(const StoreOperations &, StoreError &)>;

bool readFails(const StoreOperations &S, StoreError &E) {
  return !S.Read("k", Timeout, E);
}
bool rangeFails(const StoreOperations &S, StoreError &E) {
  return !S.Range("k", Timeout, E);
}
bool watchFails(const StoreOperations &S, StoreError &E) {
  return !S.Watch({}, Timeout, E);
}
bool putFails(const StoreOperations &S, StoreError &E) {
  return !S.Put({.Key = "k", .Value = "v"}, Timeout, E);
}

struct ResponseRow {
  const char *GuardsAgainst;
  std::string Body;
  Call Fails;
  int Status;
  StoreErrorKind Expected;
};

TEST(MalformedResponse, IsRejected) {
  const auto Malformed = StoreErrorKind::Malformed;
  const auto Unknown = StoreErrorKind::OutcomeUnknown;
  const ResponseRow Rows[] = {
      {"a parse error that ends the process", "{\"key\":", readFails, 200,
       Malformed},
      {"an array in place of an object", "[]", readFails, 200, Malformed},
      {"a missing revision read as 0", R"({"key":"k","value":""})", readFails,
       200, Malformed},
      {"a negative revision read as a large one",
       R"({"key":"k","value":"","revision":-1})", readFails, 200, Malformed},
      {"a value that is not base64",
       R"({"key":"k","value":"a b=","revision":1})", readFails, 200, Malformed},
      {"truncated base64", R"({"key":"k","value":"aGk","revision":1})",
       readFails, 200, Malformed},
      {"one bad entry that hides the others",
       R"({"entries":[{"key":1}],"revision":1})", rangeFails, 200, Malformed},
      {"a watch response without the revision for the next watch",
       R"({"events":[]})", watchFails, 200, Malformed},
      {"events of another type", R"({"events":{},"revision":1})", watchFails,
       200, Malformed},
      {"a response of unbounded size", std::string(SmallLimit + 1, ' '),
       readFails, 200, StoreErrorKind::TooLarge},
      {"a malformed confirmation reported as not done", "{}", putFails, 200,
       Unknown},
      {"a conflict without its revision reported as not done", "{}", putFails,
       409, Unknown},
      {"an internal error of the store reported as not done", "{}", putFails,
       500, Unknown},
      {"a rejection by an overloaded store reported as an outcome", "{}",
       putFails, 429, StoreErrorKind::Unavailable},
      {"a rejected request that is retried forever", "{}", putFails, 400,
       Malformed},
  };
  for (const ResponseRow &Row : Rows) {
    const FixedResponse Server(Row.Status, Row.Body);
    const StoreOperations Store =
        httpStore({.Port = Server.Port, .MaxResponseSize = SmallLimit});
    StoreError LastError;
    EXPECT_TRUE(Row.Fails(Store, LastError)) << Row.GuardsAgainst;
    EXPECT_EQ(LastError.Kind, Row.Expected)
        << Row.GuardsAgainst << ": " << LastError.Detail;
    Store.Close();
  }
}

} // namespace
} // namespace magnolia::store
