#include "store/client/http_store.h"

#include "support/raw_store.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <string_view>

// Responses of a store in trouble that are no whole responses.

namespace magnolia::store {
namespace {

using test::RawResponse;
using test::RawStore;
using Ending = test::RawResponse::Ending;

constexpr std::chrono::milliseconds Timeout{5000};

const std::string Entry = R"({"key":"k","value":"dg==","revision":7})";

std::string withStatus(std::string_view Status, const std::string &Rest) {
  return "HTTP/1.1 " + std::string(Status) + " X\r\n" + Rest;
}

std::string withLength(const std::string &Body) {
  return "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

// Sends a read and a write to stores that respond so. Expects that neither
// response counts, and that the call after it gets the response to its own
// request.
void expectRefused(const RawResponse &Broken, const std::string &Failure) {
  const RawResponse Sound{.Bytes = withStatus("200", withLength(Entry))};
  {
    const RawStore Server({Broken, Sound});
    const StoreOperations Store = httpStore({.Port = Server.port()});
    StoreError LastError;
    EXPECT_FALSE(Store.Read("k", Timeout, LastError)) << Failure;
    EXPECT_EQ(LastError.Kind, StoreErrorKind::Unavailable)
        << Failure << ": " << LastError.Detail;
    const auto Next = Store.Read("k", Timeout, LastError);
    EXPECT_TRUE(Next && Next->ModRevision == 7)
        << Failure << ": " << LastError.Detail;
    Store.Close();
  }
  const RawStore Server({Broken, Sound});
  const StoreOperations Store = httpStore({.Port = Server.port()});
  StoreError LastError;
  EXPECT_FALSE(Store.Put({.Key = "k", .Value = "v"}, Timeout, LastError))
      << Failure;
  EXPECT_EQ(LastError.Kind, StoreErrorKind::OutcomeUnknown)
      << Failure << ": " << LastError.Detail;
  EXPECT_TRUE(Store.Read("k", Timeout, LastError))
      << Failure << ": " << LastError.Detail;
  Store.Close();
}

// Guards against a response without a status that HTTP defines which is taken
// for a statement of the store, for example that it rejected a write, and whose
// connection is used again.
TEST(BrokenResponse, StatusTable) {
  for (const char *Status : {"000", "001", "042", "099", "101", "600", "999",
                             "20", "2000", "+20", "2 0", ""}) {
    for (const std::string &Rest :
         {withLength(Entry), withLength(""), "\r\n" + Entry}) {
      expectRefused({.Bytes = withStatus(Status, Rest), .How = Ending::End},
                    std::string(Status) + " before " + Rest);
    }
    expectRefused({.Bytes = withStatus(Status, withLength(Entry))},
                  std::string(Status) + " on an open connection");
  }
}

// Guards against an interim response that is taken for the response, and whose
// final one is taken for that of the next call.
TEST(BrokenResponse, InterimResponsesAreSkipped) {
  const std::string Final = withStatus("200", withLength(Entry));
  for (const char *Interim :
       {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 X\r\nA: b\r\n\r\n"}) {
    const RawStore Server({{.Bytes = Interim + Final}});
    const StoreOperations Store = httpStore({.Port = Server.port()});
    StoreError LastError;
    const auto Found = Store.Read("k", Timeout, LastError);
    EXPECT_TRUE(Found && Found->ModRevision == 7)
        << Interim << ": " << LastError.Detail;
    Store.Close();
  }
  std::string Many;
  for (int I = 0; I < 1000; ++I) {
    Many += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  expectRefused({.Bytes = Many + Final}, "interim responses without end");
}

// Guards against a part of a response that counts as a whole one because its
// connection was reset.
TEST(BrokenResponse, AResetDoesNotEndAResponse) {
  const std::string Whole = withStatus("200", "\r\n" + Entry);
  for (const std::size_t Cut : {Whole.size() - 1, Whole.size()}) {
    expectRefused({.Bytes = Whole.substr(0, Cut), .How = Ending::Reset},
                  "a body without a length");
  }
  const std::string Empty = withStatus("200", "\r\n");
  expectRefused({.Bytes = Empty, .How = Ending::Reset}, "no byte of a body");
  const RawStore Server({{.Bytes = Whole, .How = Ending::End}});
  const StoreOperations Store = httpStore({.Port = Server.port()});
  StoreError LastError;
  EXPECT_TRUE(Store.Read("k", Timeout, LastError)) << LastError.Detail;
  Store.Close();
}

// Guards against the same where the reset ends the send of a large value, which
// then sees it alone.
TEST(BrokenResponse, AResetDuringTheRequestDoesNotEndAResponse) {
  const std::string Confirmation =
      withStatus("200", "\r\n" + std::string(R"({"revision":7})"));
  const RawStore Server({{.Bytes = Confirmation, .How = Ending::Reset}});
  const StoreOperations Store = httpStore({.Port = Server.port()});
  StoreError LastError;
  const std::string Large(MaxValueSize, 'v');
  EXPECT_FALSE(Store.Put({.Key = "k", .Value = Large}, Timeout, LastError));
  EXPECT_EQ(LastError.Kind, StoreErrorKind::OutcomeUnknown) << LastError.Detail;
  Store.Close();
}

// Lines with a blank or a control byte in the name of a field, or without a
// name.
const std::string BadFields[] = {
    "A B: c",
    " A: b",
    "\tA: b",
    "A : b",
    "A\t: b",
    "Content-Length : 5",
    "Content Length: 5",
    " Content-Length: 5",
    "Transfer-Encoding : chunked",
    std::string("A\0B: c", 6),
    "A\x01: c",
    "A\x1f: c",
    "A\x7f: c",
    "A\x85: c",
    "A\rB: c",
    "(A): c",
    ": c",
    "A",
};

// Bytes of a response around a line, and the end of the connection.
struct LinePlace {
  const char *Name;
  std::string Before;
  std::string After;
  Ending How = Ending::Open;
};

// Guards against a response whose body ends elsewhere for the store because the
// name of a field holds a blank or a control byte.
TEST(BrokenResponse, FieldNameTable) {
  const std::string Start = withStatus("200", "");
  const std::string Chunks = "Transfer-Encoding: chunked\r\n\r\n27\r\n" +
                             Entry + "\r\n0\r\nX-A: b\r\n";
  const LinePlace LinePlaces[] = {
      {"the first line of the head", Start, "\r\n" + withLength(Entry)},
      {"the second line of the head", Start + "A: b\r\n",
       "\r\n" + withLength(Entry)},
      {"a line of a head without a length", Start + "A: b\r\n",
       "\r\n\r\n" + Entry, Ending::End},
      {"a line of an interim response", "HTTP/1.1 103 X\r\nA: b\r\n",
       "\r\n\r\n" + Start + withLength(Entry)},
      {"the second trailer", Start + Chunks, "\r\n\r\n"},
  };
  for (const LinePlace &Place : LinePlaces) {
    for (const std::string &Field : BadFields) {
      expectRefused(
          {.Bytes = Place.Before + Field + Place.After, .How = Place.How},
          Place.Name + (": " + Field));
    }
    const RawStore Server({{.Bytes = Place.Before + "X-Sound: 1" + Place.After,
                            .How = Place.How}});
    const StoreOperations Store = httpStore({.Port = Server.port()});
    StoreError LastError;
    EXPECT_TRUE(Store.Read("k", Timeout, LastError))
        << Place.Name << ": " << LastError.Detail;
    Store.Close();
  }
}

} // namespace
} // namespace magnolia::store
