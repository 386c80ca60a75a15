#include "daemon/http/message.h"

#include <algorithm>
#include <array>

namespace magnolia::daemon {

namespace {

constexpr std::string_view ContentLength = "Content-Length";

constexpr std::array<std::string_view, 9> HopByHop = {
    "Connection",          "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Authorization", "TE",         "Trailer",
    "Transfer-Encoding",   "Upgrade",    "Proxy-Connection",
};

char lower(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

bool isTokenByte(char C) {
  constexpr std::string_view Other = "!#$%&'*+-.^_`|~";
  return (C >= '0' && C <= '9') || (lower(C) >= 'a' && lower(C) <= 'z') ||
         Other.find(C) != std::string_view::npos;
}

// True if the comma-separated list contains the name.
bool listContains(std::string_view List, std::string_view Name) {
  while (!List.empty()) {
    const std::size_t Comma = List.find(',');
    std::string_view Item = List.substr(0, Comma);
    const std::size_t First = Item.find_first_not_of(" \t");
    if (First != std::string_view::npos) {
      Item = Item.substr(First, Item.find_last_not_of(" \t") - First + 1);
      if (equalNames(Item, Name)) {
        return true;
      }
    }
    List = Comma == std::string_view::npos ? std::string_view()
                                           : List.substr(Comma + 1);
  }
  return false;
}

std::string_view reasonOf(std::uint16_t Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 201:
    return "Created";
  case 204:
    return "No Content";
  case 304:
    return "Not Modified";
  case 400:
    return "Bad Request";
  case 404:
    return "Not Found";
  case 409:
    return "Conflict";
  case 413:
    return "Content Too Large";
  case 500:
    return "Internal Server Error";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  case 508:
    return "Loop Detected";
  default:
    return "";
  }
}

void appendHeader(std::string &Head, std::string_view Name,
                  std::string_view Value) {
  Head.append(Name).append(": ").append(Value).append("\r\n");
}

} // namespace

bool equalNames(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         std::equal(Left.begin(), Left.end(), Right.begin(),
                    [](char A, char B) { return lower(A) == lower(B); });
}

const std::string *findHeader(const HttpHeaders &Headers,
                              std::string_view Name) {
  const auto Found =
      std::find_if(Headers.begin(), Headers.end(), [Name](const HttpHeader &H) {
        return equalNames(H.Name, Name);
      });
  return Found == Headers.end() ? nullptr : &Found->Value;
}

void removeHopByHop(HttpHeaders &Headers) {
  std::string Named;
  for (const HttpHeader &Header : Headers) {
    if (equalNames(Header.Name, "Connection")) {
      Named += Header.Value + ",";
    }
  }
  std::erase_if(Headers, [&Named](const HttpHeader &Header) {
    return equalNames(Header.Name, ContentLength) ||
           std::any_of(HopByHop.begin(), HopByHop.end(),
                       [&](std::string_view Name) {
                         return equalNames(Header.Name, Name);
                       }) ||
           (!Named.empty() && listContains(Named, Header.Name));
  });
}

bool isValidHeader(const HttpHeader &Header) {
  return !Header.Name.empty() &&
         std::all_of(Header.Name.begin(), Header.Name.end(), isTokenByte) &&
         std::none_of(Header.Value.begin(), Header.Value.end(), [](char C) {
           const auto Byte = static_cast<unsigned char>(C);
           return (Byte < ' ' && C != '\t') || Byte == 0x7F;
         });
}

std::string requestHead(const HttpRequest &Request, std::string_view Host,
                        std::size_t BodyBytes) {
  std::string Head;
  Head.reserve(512);
  Head.append(Request.Method).append(" ");
  Head.append(Request.Target).append(" HTTP/1.1\r\n");
  if (!findHeader(Request.Headers, "Host")) {
    appendHeader(Head, "Host", Host);
  }
  for (const HttpHeader &Header : Request.Headers) {
    appendHeader(Head, Header.Name, Header.Value);
  }
  const bool MayOmit = Request.Method == "GET" || Request.Method == "HEAD" ||
                       Request.Method == "OPTIONS" ||
                       Request.Method == "DELETE";
  if (BodyBytes > 0 || !MayOmit) {
    appendHeader(Head, ContentLength, std::to_string(BodyBytes));
  }
  Head.append("\r\n");
  return Head;
}

std::string responseHead(const HttpResponse &Response,
                         std::string_view Method) {
  std::string Head;
  Head.reserve(512);
  Head.append("HTTP/1.1 ").append(std::to_string(Response.Status)).append(" ");
  Head.append(reasonOf(Response.Status)).append("\r\n");
  for (const HttpHeader &Header : Response.Headers) {
    appendHeader(Head, Header.Name, Header.Value);
  }
  if (hasBody(Response.Status, Method)) {
    appendHeader(Head, ContentLength, std::to_string(Response.Body.size()));
  }
  if (!Response.KeepAlive) {
    appendHeader(Head, "Connection", "close");
  }
  Head.append("\r\n");
  return Head;
}

std::size_t bytesOf(const HttpResponse &Response) {
  std::size_t Sum = Response.Body.size();
  for (const HttpHeader &Header : Response.Headers) {
    Sum += Header.Name.size() + Header.Value.size();
  }
  return Sum;
}

bool hasBody(std::uint16_t Status, std::string_view Method) {
  return Method != "HEAD" && Status >= 200 && Status != 204 && Status != 304;
}

} // namespace magnolia::daemon
