#include "daemon/http/reader.h"

#include <gtest/gtest.h>

#include <cstring>
#include <initializer_list>
#include <string>

namespace magnolia::daemon {
namespace {

using Status = HttpReadStatus;

void feed(HttpReader &Reader, std::string_view Bytes) {
  while (!Bytes.empty()) {
    const std::span<char> Space = Reader.prepare();
    const std::size_t Count = std::min(Space.size(), Bytes.size());
    std::memcpy(Space.data(), Bytes.data(), Count);
    Reader.commit(Count);
    Bytes.remove_prefix(Count);
  }
}

constexpr HttpLimits Small{.HeadBytes = 1024, .BodyBytes = 16};

struct FaultRow {
  const char *Failure;
  std::string Bytes;
  Status Expected;
};

TEST(HttpReader, RequestTable) {
  std::string Many;
  for (int I = 0; I < 201; ++I) {
    Many.append("a: \r\n");
  }
  const FaultRow Rows[] = {
      {"a valid request that is refused", "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
       Status::Ready},
      {"a truncated request treated as complete",
       "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", Status::NeedMore},
      {"a body of GET treated as the next request",
       "GET / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", Status::Ready},
      {"a request with a length and a transfer encoding",
       "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n",
       Status::Malformed},
      {"a request with two lengths",
       "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
       Status::Malformed},
      {"a negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
       Status::Malformed},
      {"a body over the limit by its stated length",
       "POST / HTTP/1.1\r\nContent-Length: 17\r\n\r\n", Status::BodyTooLarge},
      {"a chunked body that grows over the limit",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
       "10\r\n0123456789abcdef\r\n1\r\nx\r\n0\r\n\r\n",
       Status::BodyTooLarge},
      {"headers without an end",
       std::string("GET / HTTP/1.1\r\nA: ").append(2000, 'a'),
       Status::HeadTooLarge},
      {"very many headers", "GET / HTTP/1.1\r\n" + Many.append("\r\n"),
       Status::HeadTooLarge},
      {"garbage", std::string("\x16\x03\x01\x02\x00\r\n\r\n", 9),
       Status::Malformed},
      {"a header name with a space",
       "GET / HTTP/1.1\r\nContent Length: 3\r\n\r\n", Status::Malformed},
  };
  for (const FaultRow &Row : Rows) {
    HttpReader Reader(
        HttpReader::Kind::Request,
        {.HeadBytes = Row.Bytes.find("a: \r\n") != std::string::npos
                          ? 4096U
                          : Small.HeadBytes,
         .BodyBytes = Small.BodyBytes});
    feed(Reader, Row.Bytes);
    EXPECT_EQ(Reader.read(), Row.Expected) << Row.Failure;
  }
}

struct FramingRow {
  const char *Failure;
  // Lines after the start line, and what follows the head.
  std::string Headers;
  std::string Rest;
};

const FramingRow AmbiguousMessages[] = {
    {"a last coding other than chunked",
     "Transfer-Encoding: chunked, identity\r\n", "0\r\n\r\n"},
    {"a coding that is not known", "Transfer-Encoding: identity\r\n", ""},
    {"a coding whose name ends with chunked", "Transfer-Encoding: xchunked\r\n",
     "0\r\n\r\n"},
    {"a body in two codings", "Transfer-Encoding: gzip, chunked\r\n",
     "0\r\n\r\n"},
    {"a body that is chunked twice", "Transfer-Encoding: chunked, chunked\r\n",
     "0\r\n\r\n"},
    {"two transfer encodings",
     "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
     "0\r\n\r\n"},
    {"another transfer encoding in a second line",
     "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
     "0\r\n\r\n"},
    {"an empty transfer encoding", "Transfer-Encoding:\r\n", ""},
    {"a quoted transfer encoding", "Transfer-Encoding: \"chunked\"\r\n",
     "0\r\n\r\n"},
    {"a transfer encoding with a parameter",
     "Transfer-Encoding: chunked;a=b\r\n", "0\r\n\r\n"},
    {"a control character before the transfer encoding",
     "Transfer-Encoding: \vchunked\r\n", "0\r\n\r\n"},
    {"a length before a transfer encoding",
     "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"},
    {"a length after a transfer encoding",
     "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"},
    {"two lengths", "Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"},
    {"a list of lengths", "Content-Length: 3, 3\r\n", "abc"},
    {"a length with a sign", "Content-Length: +3\r\n", "abc"},
    {"a hexadecimal length", "Content-Length: 0x3\r\n", "abc"},
    {"a length with a fraction", "Content-Length: 3.0\r\n", "abc"},
    {"an empty length", "Content-Length:\r\n", ""},
    {"a length that no type holds",
     "Content-Length: 99999999999999999999999\r\n", "abc"},
    {"a blank between the name and the colon", "Content-Length : 3\r\n", "abc"},
    {"a tab between the name and the colon", "Transfer-Encoding\t: chunked\r\n",
     "0\r\n\r\n"},
    {"a header line that begins with a blank", " Content-Length: 3\r\n", "abc"},
    {"a value that goes on in the next line", "A: b\r\n c\r\n", ""},
    {"a length that goes on in the next line", "Content-Length: 1\r\n 2\r\n",
     "abcdefghijkl"},
    {"a line that ends with a line feed alone", "A: b\nContent-Length: 3\r\n",
     "abc"},
    {"a carriage return within a line", "A: b\rContent-Length: 3\r\n", ""},
    {"a zero byte in a value", std::string("A: b\0c\r\n", 8), ""},
    {"a header without a name", ": 3\r\n", ""},
    {"a size of a chunk with a sign", "Transfer-Encoding: chunked\r\n",
     "+3\r\nabc\r\n0\r\n\r\n"},
    {"a size of a chunk with a prefix", "Transfer-Encoding: chunked\r\n",
     "0x3\r\nabc\r\n0\r\n\r\n"},
    {"a size of a chunk that no type holds", "Transfer-Encoding: chunked\r\n",
     "10000000000000003\r\nabc\r\n0\r\n\r\n"},
    {"an empty size of a chunk", "Transfer-Encoding: chunked\r\n",
     "\r\nabc\r\n0\r\n\r\n"},
    {"a chunk without an end of its line", "Transfer-Encoding: chunked\r\n",
     "3\r\nabc0\r\n\r\n"},
    {"a line feed alone after the size of a chunk",
     "Transfer-Encoding: chunked\r\n", "3\nabc\r\n0\r\n\r\n"},
    {"a carriage return within a chunk extension",
     "Transfer-Encoding: chunked\r\n", "3;a\rb\r\nabc\r\n0\r\n\r\n"}};

// Guards against a message whose end is somewhere else for another reader, so
// that a part of one request runs as the next one, or a part of a response is
// the response to another request.
TEST(HttpReader, AmbiguousMessagesAreRejected) {
  for (const FramingRow &Row : AmbiguousMessages) {
    HttpReader Request(HttpReader::Kind::Request, Small);
    feed(Request, "POST / HTTP/1.1\r\nHost: a\r\n" + Row.Headers + "\r\n" +
                      Row.Rest + "GET /next HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(Request.read() == Status::Malformed) << Row.Failure;
    HttpReader Response(HttpReader::Kind::Response, Small);
    feed(Response, "HTTP/1.1 200 OK\r\nA: b\r\n" + Row.Headers + "\r\n" +
                       Row.Rest + "HTTP/1.1 200 OK\r\n\r\n");
    EXPECT_TRUE(Response.read() == Status::Malformed)
        << "response: " << Row.Failure;
  }
  HttpReader Old(HttpReader::Kind::Request, Small);
  feed(Old, "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  EXPECT_TRUE(Old.read() == Status::Malformed) << "HTTP/1.0 with chunks";
}

// Guards against a header that ends its connection by an exception, without a
// response, although the limit on heads allows it.
TEST(HttpReader, AHeaderThatTheParserCannotHoldIsRejected) {
  const HttpLimits Large{.HeadBytes = 200'000};
  for (const std::string &Line :
       {"A: " + std::string(70'000, 'a'), std::string(70'000, 'a') + ": b"}) {
    HttpReader Request(HttpReader::Kind::Request, Large);
    feed(Request, "GET / HTTP/1.1\r\n" + Line + "\r\n\r\n");
    EXPECT_TRUE(Request.read() == Status::HeadTooLarge);
    HttpReader Response(HttpReader::Kind::Response, Large);
    feed(Response, "HTTP/1.1 200 OK\r\n" + Line + "\r\n\r\n");
    EXPECT_TRUE(Response.read() == Status::HeadTooLarge);
  }
}

// Guards against an idle connection that keeps the memory of a large head.
TEST(HttpReader, TheMemoryOfALargeHeadIsFreed) {
  HttpReader Reader(HttpReader::Kind::Request, {.HeadBytes = 200'000});
  feed(Reader, "GET / HTTP/1.1\r\nA: " + std::string(50'000, 'a') +
                   "\r\nB: " + std::string(50'000, 'b') + "\r\n\r\n");
  ASSERT_TRUE(Reader.read() == Status::Ready);
  (void)Reader.takeRequest();
  EXPECT_GT(Reader.prepare().size(), 65'536U);
  Reader.begin();
  EXPECT_LT(Reader.prepare().size(), 65'536U);
}

// Guards against a trailer that continues the one before for this reader and is
// a header of its own for others, and against bodies that are taken for one.
TEST(HttpReader, FoldedTrailersAreRejected) {
  const std::string Chunks = "Transfer-Encoding: chunked\r\n\r\n"
                             "8\r\na\n b\r\n\tc\r\n0\r\n";
  for (const char *Trailers :
       {"X-A: b\r\n X-C: d\r\n\r\n", "X-A: b\r\n\tX-C: d\r\n\r\n"}) {
    HttpReader Request(HttpReader::Kind::Request, Small);
    feed(Request, "POST / HTTP/1.1\r\n" + (Chunks + Trailers));
    EXPECT_EQ(Request.read(), Status::Malformed) << Trailers;
    HttpReader Response(HttpReader::Kind::Response, Small);
    feed(Response, "HTTP/1.1 200 OK\r\n" + (Chunks + Trailers));
    EXPECT_EQ(Response.read(), Status::Malformed) << Trailers;
  }
  HttpReader Response(HttpReader::Kind::Response, Small);
  feed(Response, "HTTP/1.1 200 OK\r\n" + (Chunks + "X-A: b\r\n\r\n"));
  ASSERT_EQ(Response.read(), Status::Ready);
  EXPECT_EQ(Response.takeResponse().Body, "a\n b\r\n\tc");
}

// Guards against usual messages that are rejected with the ambiguous ones.
TEST(HttpReader, UsualFramingIsAccepted) {
  for (const FramingRow &Row : std::initializer_list<FramingRow>{
           {"chunks", "Transfer-Encoding: chunked\r\n",
            "3\r\nabc\r\n0\r\n\r\n"},
           {"another case", "transfer-encoding: Chunked\r\n",
            "3\r\nabc\r\n0\r\n\r\n"},
           {"blanks around the value", "Transfer-Encoding: \t chunked \t\r\n",
            "3\r\nabc\r\n0\r\n\r\n"},
           {"a chunk extension", "Transfer-Encoding: chunked\r\n",
            "3;a=b\r\nabc\r\n0\r\n\r\n"},
           {"leading zeros", "Content-Length: 003\r\n", "abc"},
           {"blanks around the length", "Content-Length: \t 3 \r\n", "abc"},
           {"no blank before the length", "Content-Length:3\r\n", "abc"},
           {"a trailer", "Transfer-Encoding: chunked\r\n",
            "3\r\nabc\r\n0\r\nX-A: b\r\nX-C: d\r\n\r\n"}}) {
    HttpReader Request(HttpReader::Kind::Request, Small);
    feed(Request, "POST / HTTP/1.1\r\n" + Row.Headers + "\r\n" + Row.Rest);
    ASSERT_TRUE(Request.read() == Status::Ready) << Row.Failure;
    EXPECT_EQ(Request.takeRequest().Body, "abc") << Row.Failure;
    HttpReader Response(HttpReader::Kind::Response, Small);
    feed(Response, "HTTP/1.1 200 OK\r\n" + Row.Headers + "\r\n" + Row.Rest);
    ASSERT_TRUE(Response.read() == Status::Ready) << Row.Failure;
    EXPECT_EQ(Response.takeResponse().Body, "abc") << Row.Failure;
  }
}

TEST(HttpReader, ResponseTable) {
  const FaultRow Rows[] = {
      {"a valid response that is refused",
       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Status::Ready},
      {"a truncated body treated as complete",
       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", Status::NeedMore},
      {"a truncated chunked body treated as complete",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
       Status::NeedMore},
      {"a response without a length treated as complete before its end",
       "HTTP/1.1 200 OK\r\n\r\nok", Status::NeedMore},
      {"an interim response treated as the final one",
       "HTTP/1.1 100 Continue\r\n\r\n", Status::NeedMore},
      {"a final response lost after an interim one",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
       Status::Ready},
      {"a response over the limit that arrives in one piece",
       "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n0123456789abcdefg",
       Status::BodyTooLarge},
      {"a response over the limit",
       "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n", Status::BodyTooLarge},
  };
  for (const FaultRow &Row : Rows) {
    HttpReader Reader(HttpReader::Kind::Response, Small);
    Reader.begin("GET");
    feed(Reader, Row.Bytes);
    EXPECT_EQ(Reader.read(), Row.Expected) << Row.Failure;
  }
}

// Guards against a status that HTTP does not define, which is passed on or
// awaited like an interim one.
TEST(HttpReader, UndefinedStatusesAreRejected) {
  for (const char *Code :
       {"000", "001", "042", "099", "101", "600", "700", "999"}) {
    HttpReader Reader(HttpReader::Kind::Response, Small);
    Reader.begin("GET");
    feed(Reader, "HTTP/1.1 " + std::string(Code) + " X\r\n\r\n");
    EXPECT_EQ(Reader.read(), Status::Malformed) << Code;
  }
}

// Guards against memory that grows with a line that never ends after the head.
TEST(HttpReader, EndlessLinesAfterTheHeadAreRejected) {
  const std::string Filler(2 * Small.HeadBytes, '0');
  for (const char *Start : {"", "1;", "0\r\nA: "}) {
    HttpReader Response(HttpReader::Kind::Response, Small);
    Response.begin("GET");
    feed(Response, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                       (Start + Filler));
    EXPECT_EQ(Response.read(), Status::Malformed) << Start;
    HttpReader Request(HttpReader::Kind::Request, Small);
    feed(Request, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                      (Start + Filler));
    EXPECT_EQ(Request.read(), Status::Malformed) << Start;
  }
}

// Guards against a truncated response that counts as complete when the
// connection ends, and against a response without a length that never ends.
TEST(HttpReader, EndOfConnectionTable) {
  const FaultRow Rows[] = {
      {"a response without a length that never ends",
       "HTTP/1.1 200 OK\r\n\r\nok", Status::Ready},
      {"a truncated body treated as complete",
       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", Status::Malformed},
      {"a truncated chunked body treated as complete",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
       Status::Malformed},
      {"a truncated head treated as a response", "HTTP/1.1 200 OK\r\nA: b\r\n",
       Status::Malformed},
      {"an empty stream treated as a response", "", Status::Malformed},
  };
  for (const FaultRow &Row : Rows) {
    HttpReader Reader(HttpReader::Kind::Response, Small);
    Reader.begin("GET");
    feed(Reader, Row.Bytes);
    EXPECT_EQ(Reader.read(), Status::NeedMore) << Row.Failure;
    EXPECT_EQ(Reader.finish(), Row.Expected) << Row.Failure;
  }
}

// Guards against bytes lost or merged between requests on one connection, and
// against header values that are decoded while forwarding.
TEST(HttpReader, KeepsPipelinedRequestsAndRawHeaderValues) {
  HttpReader Reader(HttpReader::Kind::Request, Small);
  feed(Reader, "POST /1 HTTP/1.1\r\nA: x%0d%0aB: y\r\nContent-Length: 2\r\n\r\n"
               "hiGET /2 HTTP/1.1\r\n\r\n");
  ASSERT_EQ(Reader.read(), Status::Ready);
  const HttpRequest First = Reader.takeRequest();
  EXPECT_EQ(First.Body, "hi");
  ASSERT_TRUE(findHeader(First.Headers, "a"));
  EXPECT_EQ(*findHeader(First.Headers, "a"), "x%0d%0aB: y");
  EXPECT_EQ(findHeader(First.Headers, "B"), nullptr);
  Reader.begin();
  ASSERT_EQ(Reader.read(), Status::Ready);
  EXPECT_EQ(Reader.takeRequest().Target, "/2");
}

// Guards against waiting for the body of a response to HEAD.
TEST(HttpReader, ResponseToHeadHasNoBody) {
  HttpReader Reader(HttpReader::Kind::Response, Small);
  Reader.begin("HEAD");
  feed(Reader, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
  EXPECT_EQ(Reader.read(), Status::Ready);
}

// Guards against forwarding headers that apply to one connection only.
TEST(HttpMessage, RemovesHopByHopHeaders) {
  HttpHeaders Headers = {{"Connection", "close, X-Mine"},
                         {"x-mine", "1"},
                         {"Transfer-Encoding", "chunked"},
                         {"Keep-Alive", "1"},
                         {"Upgrade", "h2c"},
                         {"Content-Length", "3"},
                         {"X-Kept", "1"}};
  removeHopByHop(Headers);
  EXPECT_EQ(Headers, (HttpHeaders{{"X-Kept", "1"}}));
}

// Guards against headers from peers that would change the message structure.
TEST(HttpMessage, RefusesHeadersThatSplitMessages) {
  EXPECT_TRUE(isValidHeader({"X-A", "some text"}));
  EXPECT_FALSE(isValidHeader({"X-A", "a\r\nB: c"}));
  EXPECT_FALSE(isValidHeader({"X A", "a"}));
  EXPECT_FALSE(isValidHeader({"", "a"}));
  EXPECT_FALSE(isValidHeader({"X-A:", "a"}));
}

} // namespace
} // namespace magnolia::daemon
