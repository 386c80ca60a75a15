#include "daemon/http/reader.h"

#include "daemon/memory/held_bytes.h"
#include "daemon/memory/release_buffer.h"
#include "policy/core/folded_line.h"
#include "policy/core/status_class.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <cstring>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace magnolia::daemon {

namespace {

namespace beast = boost::beast::http;
using RequestParser = beast::request_parser<beast::string_body>;
using ResponseParser = beast::response_parser<beast::string_body>;

constexpr std::size_t ReadBytes = 16'384;
// Larger buffers are freed after a message.
constexpr std::size_t KeptBytes = 65'536;
constexpr std::string_view Chunked = "chunked";
// More interim responses to one request than any server has a use for.
constexpr std::size_t MaxInterimResponses = 16;

template <class Parser>
void setUp(std::optional<Parser> &Created, const HttpLimits &Limits) {
  Created.emplace();
  // An eager parser of Boost 1.74 drops the error of a body over the limit if
  // header and body arrive together.
  Created->eager(false);
  Created->header_limit(static_cast<std::uint32_t>(Limits.HeadBytes));
  Created->body_limit(Limits.BodyBytes);
}

HttpReadStatus statusOf(const boost::system::error_code &ParseError) {
  if (ParseError == beast::error::header_limit) {
    return HttpReadStatus::HeadTooLarge;
  }
  if (ParseError == beast::error::body_limit) {
    return HttpReadStatus::BodyTooLarge;
  }
  return HttpReadStatus::Malformed;
}

template <class Message> HttpHeaders takeHeaders(const Message &From) {
  HttpHeaders Headers;
  for (const auto &Field : From.base()) {
    const auto Name = Field.name_string();
    const auto Value = Field.value();
    Headers.push_back({std::string(Name.data(), Name.size()),
                       std::string(Value.data(), Value.size())});
  }
  return Headers;
}

template <class Message> bool tooManyHeaders(const Message &From) {
  const auto &Fields = From.base();
  return static_cast<std::size_t>(std::distance(Fields.begin(), Fields.end())) >
         HttpHeaderMaximumCount;
}

bool isDigits(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char Next) {
    return Next >= '0' && Next <= '9';
  });
}

// True if every reader finds the end of the message at the same place. The
// parser itself accepts codings that it does not know, and then takes the
// message for one without a body.
template <class Message> bool hasClearFraming(const Message &From) {
  constexpr unsigned Http11 = 11;
  const auto &Fields = From.base();
  const auto Lengths = Fields.equal_range(beast::field::content_length);
  const bool AreNumbers =
      std::all_of(Lengths.first, Lengths.second, [](const auto &Field) {
        return isDigits({Field.value().data(), Field.value().size()});
      });
  const auto Codings = Fields.equal_range(beast::field::transfer_encoding);
  if (Codings.first == Codings.second) {
    return AreNumbers;
  }
  return std::next(Codings.first) == Codings.second &&
         boost::beast::iequals(Codings.first->value(),
                               {Chunked.data(), Chunked.size()}) &&
         Lengths.first == Lengths.second && From.version() >= Http11;
}

bool hasValidStatus(const RequestParser::value_type &) { return true; }

bool hasValidStatus(const ResponseParser::value_type &Response) {
  return policy::statusClassOf(Response.result_int()) !=
         policy::StatusClass::Invalid;
}

// Checks the bytes that the parser has just taken for what it lets pass itself.
// It takes all lines of the head at once, and those of the trailers with the
// last chunk.
template <class Parser>
bool isAcceptable(const Parser &To, bool HadHead, std::string_view Taken) {
  const bool TookHead = !HadHead && To.is_header_done();
  const bool TookTrailers = HadHead && To.is_done() && To.chunked();
  if ((TookHead || TookTrailers) && policy::hasFoldedLine(Taken)) {
    return false;
  }
  return !TookHead || (hasClearFraming(To.get()) && hasValidStatus(To.get()));
}

} // namespace

struct HttpReader::State {
  Kind Read;
  HttpLimits Limits;
  BodyMemory *Memory = nullptr;
  BodyShare Share;
  std::optional<RequestParser> Request;
  std::optional<ResponseParser> Response;
  bool SkipBody = false;
  // Interim responses before the current one.
  std::size_t Interim = 0;
  std::string Bytes;
  std::size_t Begin = 0;
  std::size_t End = 0;

  void start() {
    Share.reset();
    if (Begin == End && Bytes.size() > KeptBytes) {
      releaseBuffer(Bytes);
      Begin = End = 0;
    }
    if (Read == Kind::Request) {
      setUp(Request, Limits);
    } else {
      setUp(Response, Limits);
      Response->skip(SkipBody);
    }
  }

  // Returns false if the node has no memory for the body of the message. A
  // stated length counts before the body has arrived.
  template <class Parser> bool holdBody(const Parser &To) {
    if (Memory == nullptr || !To.is_header_done()) {
      return true;
    }
    std::size_t Size = To.get().body().capacity();
    if (!To.is_done()) {
      Size = std::max<std::size_t>(Size, To.content_length().value_or(0));
    }
    if (!Share && Size > HeldBytes::UncountedBytes) {
      Share = std::make_shared<HeldBytes>(*Memory);
    }
    return !Share || Share->resize(Size);
  }

  // Gives the buffered bytes to the parser. Returns false if a header is larger
  // than the parser can hold, about 64 KiB.
  template <class Parser>
  bool parse(Parser &To, boost::system::error_code &ParseError) {
    try {
      Begin +=
          To.put(boost::asio::const_buffer(Bytes.data() + Begin, End - Begin),
                 ParseError);
      return true;
    } catch (const std::length_error &) {
      return false;
    }
  }

  template <class Parser> HttpReadStatus advance(Parser &To) {
    while (!To.is_done() && Begin < End) {
      boost::system::error_code ParseError;
      const bool HadHead = To.is_header_done();
      const std::size_t Start = Begin;
      if (!parse(To, ParseError)) {
        return HttpReadStatus::HeadTooLarge;
      }
      if (ParseError == beast::error::need_more) {
        if (End - Begin <= Limits.HeadBytes) {
          return HttpReadStatus::NeedMore;
        }
        // After the head, only the line of a chunk or the trailers are parsed
        // as a whole.
        return To.is_header_done() ? HttpReadStatus::Malformed
                                   : HttpReadStatus::HeadTooLarge;
      }
      if (ParseError) {
        return statusOf(ParseError);
      }
      if (!isAcceptable(To, HadHead, {Bytes.data() + Start, Begin - Start})) {
        return HttpReadStatus::Malformed;
      }
      if (!holdBody(To)) {
        return HttpReadStatus::NoMemory;
      }
    }
    if (To.is_header_done() && tooManyHeaders(To.get())) {
      return HttpReadStatus::HeadTooLarge;
    }
    return To.is_done() ? HttpReadStatus::Ready : HttpReadStatus::NeedMore;
  }

  HttpReadStatus advanceResponse() {
    for (;;) {
      const HttpReadStatus Status = advance(*Response);
      if (Status != HttpReadStatus::Ready ||
          policy::statusClassOf(Response->get().result_int()) ==
              policy::StatusClass::Final) {
        return Status;
      }
      // The final response follows an interim one.
      if (++Interim > MaxInterimResponses) {
        return HttpReadStatus::Malformed;
      }
      start();
    }
  }
};

HttpReader::HttpReader(Kind Read, HttpLimits Limits, BodyMemory *Memory)
    : Impl(std::make_unique<State>()) {
  Impl->Read = Read;
  Impl->Limits = Limits;
  Impl->Memory = Memory;
  Impl->start();
}

HttpReader::~HttpReader() = default;
HttpReader::HttpReader(HttpReader &&) noexcept = default;
HttpReader &HttpReader::operator=(HttpReader &&) noexcept = default;

void HttpReader::begin(std::string_view Method) {
  Impl->SkipBody = Method == "HEAD";
  Impl->Interim = 0;
  Impl->start();
}

void HttpReader::limit(const HttpLimits &Next) {
  if (Impl->Limits == Next) {
    return;
  }
  Impl->Limits = Next;
  if (!hasBytes()) {
    Impl->start();
  }
}

std::span<char> HttpReader::prepare() {
  State &S = *Impl;
  if (S.Begin == S.End) {
    S.Begin = S.End = 0;
  } else if (S.Begin > 0) {
    std::memmove(S.Bytes.data(), S.Bytes.data() + S.Begin, S.End - S.Begin);
    S.End -= S.Begin;
    S.Begin = 0;
  }
  if (S.Bytes.size() - S.End < ReadBytes) {
    S.Bytes.resize(S.End + ReadBytes);
  }
  return {S.Bytes.data() + S.End, S.Bytes.size() - S.End};
}

void HttpReader::commit(std::size_t Count) { Impl->End += Count; }

HttpReadStatus HttpReader::read() {
  return Impl->Read == Kind::Request ? Impl->advance(*Impl->Request)
                                     : Impl->advanceResponse();
}

HttpReadStatus HttpReader::finish() {
  if (Impl->Read == Kind::Request) {
    return HttpReadStatus::Malformed;
  }
  ResponseParser &Parser = *Impl->Response;
  if (!Parser.is_header_done() || !Parser.need_eof()) {
    return HttpReadStatus::Malformed;
  }
  boost::system::error_code ParseError;
  Parser.put_eof(ParseError);
  return ParseError ? HttpReadStatus::Malformed : HttpReadStatus::Ready;
}

bool HttpReader::hasBytes() const {
  return Impl->Begin < Impl->End ||
         (Impl->Read == Kind::Request && Impl->Request->got_some());
}

bool HttpReader::hasHead() const {
  return Impl->Read == Kind::Request ? Impl->Request->is_header_done()
                                     : Impl->Response->is_header_done();
}

bool HttpReader::expectsContinue() const {
  const auto &Parser = Impl->Request;
  return Parser && Parser->is_header_done() && !Parser->is_done() &&
         boost::beast::iequals(Parser->get()[beast::field::expect],
                               "100-continue");
}

HttpRequest HttpReader::takeRequest() {
  auto &Message = Impl->Request->get();
  HttpRequest Request;
  const auto Method = Message.method_string();
  const auto Target = Message.target();
  Request.Method.assign(Method.data(), Method.size());
  Request.Target.assign(Target.data(), Target.size());
  Request.Headers = takeHeaders(Message);
  Request.Body = std::move(Message.body());
  Request.Share = std::move(Impl->Share);
  Request.KeepAlive = Impl->Request->keep_alive();
  return Request;
}

HttpResponse HttpReader::takeResponse() {
  auto &Message = Impl->Response->get();
  HttpResponse Response;
  Response.Status = static_cast<std::uint16_t>(Message.result_int());
  Response.Headers = takeHeaders(Message);
  Response.Body = std::move(Message.body());
  Response.Share = std::move(Impl->Share);
  Response.KeepAlive = Impl->Response->keep_alive();
  return Response;
}

} // namespace magnolia::daemon
