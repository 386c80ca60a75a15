#include "settings/record/internal/field_reader.h"

#include "policy/core/parse_json.h"
#include "settings/record/limits.h"
#include "settings/record/record_key.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace magnolia::settings::internal {
namespace {

using Json = nlohmann::json;

std::string rangeOf(std::uint64_t Minimum, std::uint64_t Maximum) {
  return "a whole number from " + std::to_string(Minimum) + " to " +
         std::to_string(Maximum);
}

} // namespace

FieldReader::FieldReader(std::string_view What, std::string_view Value,
                         std::size_t MaxSize)
    : What(What) {
  if (Value.size() > MaxSize) {
    failWith("the value has more than " + std::to_string(MaxSize) + " bytes");
  } else {
    Object = policy::parseJson(Value);
    if (!Object.is_object()) {
      failWith("the value is not a JSON object or is nested too deeply");
    }
  }
  if (failed()) {
    Object = Json::object();
  }
}

FieldReader::FieldReader(std::string_view What, Json Object)
    : What(What), Object(std::move(Object)) {
  if (!this->Object.is_object()) {
    failWith("expected a JSON object");
    this->Object = Json::object();
  }
}

FieldReader::FieldReader(std::string_view What, Json Array,
                         std::span<const char *const> Places)
    : What(What), Object(std::move(Array)), Places(Places) {
  if (!Object.is_array()) {
    failWith("expected a JSON array");
    Object = Json::array();
  }
}

const Json *FieldReader::find(const char *Name) const {
  if (failed()) {
    return nullptr;
  }
  if (Object.is_array()) {
    const auto Place = static_cast<std::size_t>(
        std::distance(Places.begin(), std::find(Places.begin(), Places.end(),
                                                std::string_view(Name))));
    return Place < std::min(Places.size(), Object.size()) ? &Object[Place]
                                                          : nullptr;
  }
  const auto Found = Object.find(Name);
  return Found == Object.end() ? nullptr : &*Found;
}

bool FieldReader::has(const char *Name) const { return find(Name) != nullptr; }

bool FieldReader::isText(const char *Name) const {
  const Json *Field = find(Name);
  return Field != nullptr && Field->is_string();
}

std::string FieldReader::text(const char *Name, std::size_t MaxSize) {
  std::string Result = optionalText(Name, MaxSize);
  if (Result.empty()) {
    fail(Name, "a text of 1 to " + std::to_string(MaxSize) + " bytes");
  }
  return Result;
}

std::string FieldReader::optionalText(const char *Name, std::size_t MaxSize) {
  const Json *Field = find(Name);
  if (Field == nullptr) {
    return {};
  }
  if (!Field->is_string() ||
      Field->get_ref<const std::string &>().size() > MaxSize) {
    fail(Name, "a text of at most " + std::to_string(MaxSize) + " bytes");
    return {};
  }
  return Field->get<std::string>();
}

std::string FieldReader::anyText(const char *Name) {
  if (!isText(Name)) {
    fail(Name, "a text");
    return {};
  }
  return find(Name)->get<std::string>();
}

std::string FieldReader::name(const char *Name) {
  std::string Result = optionalText(Name, MaxNameSize);
  if (!isName(Result)) {
    fail(Name, "1 to 64 letters, digits, '.', '_' and '-'");
  }
  return Result;
}

std::uint64_t FieldReader::number(const char *Name, std::uint64_t Minimum,
                                  std::uint64_t Maximum) {
  if (find(Name) == nullptr) {
    fail(Name, rangeOf(Minimum, Maximum));
  }
  return number(Name, Minimum, Maximum, Minimum);
}

std::uint64_t FieldReader::number(const char *Name, std::uint64_t Minimum,
                                  std::uint64_t Maximum,
                                  std::uint64_t IfAbsent) {
  const Json *Field = find(Name);
  if (Field == nullptr) {
    return IfAbsent;
  }
  if (!Field->is_number_unsigned() || Field->get<std::uint64_t>() < Minimum ||
      Field->get<std::uint64_t>() > Maximum) {
    fail(Name, rangeOf(Minimum, Maximum));
    return IfAbsent;
  }
  return Field->get<std::uint64_t>();
}

std::optional<std::uint64_t>
FieldReader::optionalNumber(const char *Name, std::uint64_t Minimum,
                            std::uint64_t Maximum) {
  return find(Name) == nullptr ? std::nullopt
                               : std::optional(number(Name, Minimum, Maximum));
}

double FieldReader::real(const char *Name, double Maximum, double IfAbsent) {
  const Json *Field = find(Name);
  if (Field == nullptr) {
    return IfAbsent;
  }
  if (!Field->is_number() || !(Field->get<double>() >= 0.0) ||
      Field->get<double>() > Maximum) {
    fail(Name, "a number from 0 to " +
                   std::to_string(static_cast<std::uint64_t>(Maximum)));
    return IfAbsent;
  }
  return Field->get<double>();
}

bool FieldReader::flag(const char *Name) {
  const auto Result = optionalFlag(Name);
  if (!Result) {
    fail(Name, "true or false");
  }
  return Result.value_or(false);
}

std::optional<bool> FieldReader::optionalFlag(const char *Name) {
  const Json *Field = find(Name);
  if (Field == nullptr) {
    return std::nullopt;
  }
  if (!Field->is_boolean()) {
    fail(Name, "true or false");
    return std::nullopt;
  }
  return Field->get<bool>();
}

const Json *FieldReader::array(const char *Name, std::size_t MaxSize) {
  const Json *Field = find(Name);
  if (Field == nullptr) {
    return nullptr;
  }
  if (!Field->is_array() || Field->size() > MaxSize) {
    fail(Name, "a list of at most " + std::to_string(MaxSize) + " elements");
    return nullptr;
  }
  return Field;
}

Json FieldReader::object(const char *Name) {
  const Json *Field = find(Name);
  return Field == nullptr ? Json::object() : *Field;
}

void FieldReader::fail(std::string_view Name, std::string_view Expected) {
  failWith("field \"" + std::string(Name) +
           "\": missing or out of range; expected " + std::string(Expected));
}

void FieldReader::failWith(std::string Message) {
  if (!failed()) {
    this->Message = What + ": " + std::move(Message);
  }
}

bool FieldReader::report(policy::Error &LastError) const {
  if (failed()) {
    LastError = {policy::ErrorKind::BadRequest, Message};
  }
  return failed();
}

} // namespace magnolia::settings::internal
