#include "template.h"

#include <nlohmann/json.hpp>

namespace review {

namespace {

using Json = nlohmann::json;

// Value at a path such as limits.cores, or null.
Json valueAt(const Json &Fields, std::string_view Path) {
  const Json *At = &Fields;
  while (!Path.empty()) {
    const std::size_t Dot = Path.find('.');
    const std::string Name(Path.substr(0, Dot));
    Path = Dot == std::string_view::npos ? std::string_view()
                                         : Path.substr(Dot + 1);
    if (At->is_object() && At->contains(Name)) {
      At = &(*At)[Name];
    } else if (At->is_array() &&
               Name.find_first_not_of("0123456789") == std::string::npos &&
               std::stoul(Name) < At->size()) {
      At = &(*At)[std::stoul(Name)];
    } else {
      return nullptr;
    }
  }
  return *At;
}

std::string textOf(const Json &Value) {
  if (Value.is_string()) {
    return Value.get<std::string>();
  }
  return Value.is_null() ? std::string() : Value.dump();
}

bool isPresent(const Json &Value) {
  return !Value.is_null() && Value != false && !(Value == "") &&
         !((Value.is_array() || Value.is_object()) && Value.empty());
}

std::string fill(std::string_view Text, const Json &Fields, const Json &Entry,
                 const std::string &Key);

std::string fillSection(std::string_view Inner, const Json &Value,
                        const Json &Fields) {
  std::string Result;
  if (Value.is_object()) {
    for (const auto &[Key, Entry] : Value.items()) {
      Result += fill(Inner, Fields, Entry, Key);
    }
  } else if (Value.is_array()) {
    std::size_t Index = 0;
    for (const Json &Entry : Value) {
      Result += fill(Inner, Fields, Entry, std::to_string(Index++));
    }
  } else {
    Result += fill(Inner, Fields, Value, {});
  }
  return Result;
}

std::string fill(std::string_view Text, const Json &Fields, const Json &Entry,
                 const std::string &Key) {
  std::string Result;
  for (;;) {
    const std::size_t Open = Text.find("{{");
    if (Open == std::string_view::npos) {
      return Result.append(Text);
    }
    const std::size_t Close = Text.find("}}", Open);
    Result.append(Text.substr(0, Open));
    std::string_view Name = Text.substr(Open + 2, Close - Open - 2);
    Text.remove_prefix(Close + 2);
    if (Name == "@") {
      Result += Key;
    } else if (Name == ".") {
      Result += textOf(Entry);
    } else if (Name.starts_with('#') || Name.starts_with('^')) {
      const bool IfAbsent = Name.starts_with('^');
      Name.remove_prefix(1);
      const std::string End = "{{/" + std::string(Name) + "}}";
      const std::size_t At = Text.find(End);
      const std::string_view Inner = Text.substr(0, At);
      Text.remove_prefix(At + End.size());
      const Json Value = valueAt(Fields, Name);
      if (IfAbsent != isPresent(Value)) {
        Result += IfAbsent ? fill(Inner, Fields, Entry, Key)
                           : fillSection(Inner, Value, Fields);
      }
    } else {
      Result += textOf(valueAt(Fields, Name));
    }
  }
}

} // namespace

std::string fillTemplate(std::string_view Text, const nlohmann::json &Fields) {
  return fill(Text, Fields, nullptr, {});
}

} // namespace review
