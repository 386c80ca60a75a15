#ifndef CTL_CORE_OUTPUT_H
#define CTL_CORE_OUTPUT_H

#include <nlohmann/json.hpp>

#include <ostream>
#include <string_view>

namespace magnolia::ctl {

// Writes text line by line, or one JSON document at the end.
class Output {
public:
  Output(std::ostream &Stream, bool Json) : Stream(Stream), Json(Json) {}

  // Writes a line of progress or results. Does nothing in JSON mode.
  void line(std::string_view Text) {
    if (!Json) {
      Stream << Text << '\n' << std::flush;
    }
  }

  // Writes the document in JSON mode.
  void finish() {
    if (Json) {
      using Handler = nlohmann::ordered_json::error_handler_t;
      Stream << Document.dump(2, ' ', false, Handler::replace) << '\n';
    }
  }

  nlohmann::ordered_json Document = nlohmann::ordered_json::object();

private:
  std::ostream &Stream;
  bool Json;
};

} // namespace magnolia::ctl

#endif
