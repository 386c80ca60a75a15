#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <utility>

namespace review {

namespace {

constexpr int Backlog = 256;
constexpr std::string_view HeadEnd = "\r\n\r\n";

std::string lowerCase(std::string_view Text) {
  std::string Result(Text);
  std::transform(Result.begin(), Result.end(), Result.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Result;
}

std::string_view trimmed(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos) {
    return {};
  }
  return Text.substr(First, Text.find_last_not_of(" \t\r") - First + 1);
}

bool isAddress(const std::string &Address, std::uint16_t Port,
               sockaddr_in &Result) {
  Result = {};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Port);
  return inet_pton(AF_INET, Address.c_str(), &Result.sin_addr) == 1;
}

void appendFields(std::string &Bytes, const Headers &Fields,
                  const std::string &Body, bool StatesLength) {
  for (const auto &[Name, Value] : Fields) {
    Bytes.append(Name).append(": ").append(Value).append("\r\n");
  }
  if (StatesLength && !Fields.contains("content-length")) {
    Bytes.append("content-length: ")
        .append(std::to_string(Body.size()))
        .append("\r\n");
  }
  Bytes.append("\r\n").append(Body);
}

Response failed(std::string Reason) {
  Response Result;
  Result.Failure = std::move(Reason);
  return Result;
}

} // namespace

Connection::~Connection() {
  if (Socket >= 0) {
    ::close(Socket);
  }
}

bool waitForInput(int Socket, TimePoint Until) {
  const auto Left = std::chrono::ceil<Milliseconds>(
      std::max(Until - Clock::now(), Clock::duration::zero()));
  pollfd Poll{.fd = Socket, .events = POLLIN, .revents = 0};
  return ::poll(&Poll, 1, static_cast<int>(Left.count())) > 0;
}

bool isClosedByPeer(int Socket) {
  char Byte = 0;
  const ssize_t Count =
      ::recv(Socket, &Byte, 1, MSG_PEEK | static_cast<int>(MSG_DONTWAIT));
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EINTR);
}

bool Connection::fill(TimePoint Until, std::string &Failure) {
  if (!waitForInput(Socket, Until)) {
    Failure = "no bytes in time";
    return false;
  }
  std::array<char, 16'384> Space{};
  const ssize_t Count = ::recv(Socket, Space.data(), Space.size(), 0);
  if (Count <= 0) {
    Failure = Count == 0 ? "closed" : "reset";
    return false;
  }
  Buffer.append(Space.data(), static_cast<std::size_t>(Count));
  return true;
}

bool Connection::readHead(TimePoint Until, std::string &FirstLine,
                          Headers &Fields, std::string &Failure) {
  std::size_t End = Buffer.find(HeadEnd);
  while (End == std::string::npos) {
    if (!fill(Until, Failure)) {
      return false;
    }
    End = Buffer.find(HeadEnd);
  }
  const std::string Head = Buffer.substr(0, End + 2);
  Buffer.erase(0, End + HeadEnd.size());
  std::size_t Line = Head.find("\r\n");
  FirstLine = Head.substr(0, Line);
  while (Line + 2 < Head.size()) {
    const std::size_t Next = Head.find("\r\n", Line + 2);
    const std::string_view Text =
        std::string_view(Head).substr(Line + 2, Next - Line - 2);
    const std::size_t Colon = Text.find(':');
    if (Colon == std::string_view::npos) {
      Failure = "no header";
      return false;
    }
    Fields[lowerCase(Text.substr(0, Colon))] = trimmed(Text.substr(Colon + 1));
    Line = Next;
  }
  return true;
}

bool Connection::readBody(const Headers &Fields, TimePoint Until,
                          std::string &Body, std::string &Failure) {
  const auto Length = Fields.find("content-length");
  const std::size_t Size = Length == Fields.end()
                               ? 0
                               : std::strtoull(Length->second.c_str(), {}, 10);
  while (Buffer.size() < Size) {
    if (!fill(Until, Failure)) {
      return false;
    }
  }
  Body = Buffer.substr(0, Size);
  Buffer.erase(0, Size);
  return true;
}

std::optional<Request> Connection::readRequest(TimePoint Until) {
  Request Read;
  std::string FirstLine;
  std::string Failure;
  if (!readHead(Until, FirstLine, Read.Fields, Failure) ||
      !readBody(Read.Fields, Until, Read.Body, Failure)) {
    return std::nullopt;
  }
  const std::size_t First = FirstLine.find(' ');
  const std::size_t Last = FirstLine.rfind(' ');
  if (First == std::string::npos || Last <= First) {
    return std::nullopt;
  }
  Read.Method = FirstLine.substr(0, First);
  Read.Target = FirstLine.substr(First + 1, Last - First - 1);
  return Read;
}

Response Connection::readResponse(TimePoint Until) {
  Response Read;
  std::string FirstLine;
  if (!readHead(Until, FirstLine, Read.Fields, Read.Failure)) {
    return Read;
  }
  constexpr std::size_t StatusAt = 9;
  if (!FirstLine.starts_with("HTTP/1.") || FirstLine.size() <= StatusAt) {
    Read.Failure = "no status line";
    return Read;
  }
  Read.Status = std::atoi(FirstLine.c_str() + StatusAt);
  (void)readBody(Read.Fields, Until, Read.Body, Read.Failure);
  return Read;
}

bool Connection::send(std::string_view Bytes) const {
  while (!Bytes.empty()) {
    const ssize_t Sent =
        ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent < 0 && errno != EINTR) {
      return false;
    }
    Bytes.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(Sent, 0)));
  }
  return true;
}

int listenOn(const std::string &Address, std::uint16_t Port) {
  sockaddr_in Local;
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  if (!isAddress(Address, Port, Local) ||
      ::bind(Socket, reinterpret_cast<const sockaddr *>(&Local),
             sizeof Local) != 0 ||
      ::listen(Socket, Backlog) != 0) {
    ::close(Socket);
    return -1;
  }
  return Socket;
}

int connectTo(const std::string &Address, std::uint16_t Port,
              Milliseconds Time) {
  sockaddr_in Remote;
  const int Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  if (!isAddress(Address, Port, Remote)) {
    ::close(Socket);
    return -1;
  }
  bool Connected = ::connect(Socket, reinterpret_cast<sockaddr *>(&Remote),
                             sizeof Remote) == 0;
  if (!Connected && errno == EINPROGRESS) {
    pollfd Poll{.fd = Socket, .events = POLLOUT, .revents = 0};
    int Error = 0;
    socklen_t Size = sizeof Error;
    Connected =
        ::poll(&Poll, 1, static_cast<int>(Time.count())) > 0 &&
        ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size) == 0 &&
        Error == 0;
  }
  if (!Connected) {
    ::close(Socket);
    return -1;
  }
  ::fcntl(Socket, F_SETFL, ::fcntl(Socket, F_GETFL) & ~O_NONBLOCK);
  return Socket;
}

std::string bytesOf(const Request &Given) {
  std::string Bytes = Given.Method + " " + Given.Target + " HTTP/1.1\r\n";
  appendFields(Bytes, Given.Fields, Given.Body,
               !Given.Body.empty() || Given.Method != "GET");
  return Bytes;
}

std::string bytesOf(const Response &Given) {
  std::string Bytes = "HTTP/1.1 " + std::to_string(Given.Status) + " -\r\n";
  appendFields(Bytes, Given.Fields, Given.Body, true);
  return Bytes;
}

Response exchange(const std::string &Address, std::uint16_t Port,
                  const Request &Given, Milliseconds Time) {
  const TimePoint Until = Clock::now() + Time;
  Connection To(connectTo(Address, Port, Time));
  if (To.fd() < 0) {
    return failed("no connection");
  }
  if (!To.send(bytesOf(Given))) {
    return failed("not sent");
  }
  return To.readResponse(Until);
}

std::string parameterOf(std::string_view Target, std::string_view Name) {
  std::string_view Query =
      Target.substr(std::min(Target.find('?'), Target.size()));
  while (!Query.empty()) {
    Query.remove_prefix(1);
    const std::size_t End = std::min(Query.find('&'), Query.size());
    const std::string_view Item = Query.substr(0, End);
    Query.remove_prefix(End);
    const std::size_t Sign = Item.find('=');
    if (Sign == std::string_view::npos || Item.substr(0, Sign) != Name) {
      continue;
    }
    std::string Value;
    for (std::size_t I = Sign + 1; I < Item.size(); ++I) {
      if (Item[I] == '%' && I + 2 < Item.size()) {
        const std::string Digits(Item.substr(I + 1, 2));
        Value += static_cast<char>(std::strtol(Digits.c_str(), {}, 16));
        I += 2;
      } else {
        Value += Item[I];
      }
    }
    return Value;
  }
  return {};
}

} // namespace review
