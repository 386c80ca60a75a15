#include "backend/answer_body.h"

#include <algorithm>
#include <functional>

namespace magnolia::standin {

namespace {

void appendPattern(std::string &Body, std::string_view Token,
                   std::size_t Bytes) {
  std::size_t Next = std::hash<std::string_view>{}(Token) % 26;
  Body.reserve(Bytes);
  while (Body.size() < Bytes) {
    Body.push_back(static_cast<char>('a' + Next));
    Next = (Next + 1) % 26;
  }
}

std::string_view word(std::string_view &Line) {
  const auto Space = std::min(Line.find(' '), Line.size());
  const auto Word = Line.substr(0, Space);
  Line.remove_prefix(std::min(Space + 1, Line.size()));
  return Word;
}

} // namespace

std::string composeBody(const ResponseFacts &Facts, std::size_t Bytes) {
  std::string Body = Facts.Service + ' ' + Facts.Version + ' ' + Facts.Path +
                     ' ' + Facts.Token + '\n';
  appendPattern(Body, Facts.Token, std::min(Bytes, MostResponseBytes));
  return Body;
}

bool matchBody(std::string_view Body, std::string_view Path,
               std::string_view Token, std::size_t Bytes,
               std::string &Version) {
  const auto End = Body.find('\n');
  if (End == std::string_view::npos) {
    return false;
  }
  std::string_view Line = Body.substr(0, End);
  const std::string Service(word(Line));
  Version = word(Line);
  return Body == composeBody({.Service = Service,
                              .Version = Version,
                              .Path = std::string(Path),
                              .Token = std::string(Token)},
                             Bytes);
}

} // namespace magnolia::standin
