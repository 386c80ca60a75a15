#ifndef SETTINGS_RECORD_INTERNAL_FIELD_READER_H
#define SETTINGS_RECORD_INTERNAL_FIELD_READER_H

#include "policy/core/error.h"

#include "settings/record/limits.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace magnolia::settings::internal {

// Reads and checks fields of one JSON object, or of an array whose places have
// names. Keeps the first fault; fields
// that are read after it have empty values.
class FieldReader {
public:
  // Parses the value of a key; What names the record in messages.
  FieldReader(std::string_view What, std::string_view Value,
              std::size_t MaxSize = MaxRecordSize);
  FieldReader(std::string_view What, nlohmann::json Object);
  // Reads an array. Places names its elements and must outlive the reader;
  // further elements are ignored.
  FieldReader(std::string_view What, nlohmann::json Array,
              std::span<const char *const> Places);

  std::string text(const char *Name, std::size_t MaxSize);
  // Text that may be absent or empty.
  std::string optionalText(const char *Name, std::size_t MaxSize);
  // Name of a service, zone or version.
  std::string name(const char *Name);
  std::uint64_t number(const char *Name, std::uint64_t Minimum,
                       std::uint64_t Maximum);
  std::uint64_t number(const char *Name, std::uint64_t Minimum,
                       std::uint64_t Maximum, std::uint64_t IfAbsent);
  std::optional<std::uint64_t> optionalNumber(const char *Name,
                                              std::uint64_t Minimum,
                                              std::uint64_t Maximum);
  double real(const char *Name, double Maximum, double IfAbsent);
  bool flag(const char *Name);
  std::optional<bool> optionalFlag(const char *Name);
  // True if the field is there.
  [[nodiscard]] bool has(const char *Name) const;
  // True if the field is there and a text.
  [[nodiscard]] bool isText(const char *Name) const;
  // Null if the field is absent or not a list of at most MaxSize elements.
  const nlohmann::json *array(const char *Name, std::size_t MaxSize);
  // Text of any size, also an empty one, that must be there.
  std::string anyText(const char *Name);
  // Empty if the field is absent.
  nlohmann::json object(const char *Name);

  void fail(std::string_view Name, std::string_view Expected);
  void failWith(std::string Message);

  [[nodiscard]] bool failed() const { return !Message.empty(); }
  [[nodiscard]] const std::string &message() const { return Message; }
  // Copies the first fault to LastError and returns whether there was one.
  [[nodiscard]] bool report(policy::Error &LastError) const;

private:
  const nlohmann::json *find(const char *Name) const;

  std::string What;
  nlohmann::json Object;
  // Names of the elements if Object is an array.
  std::span<const char *const> Places;
  std::string Message;
};

} // namespace magnolia::settings::internal

#endif
