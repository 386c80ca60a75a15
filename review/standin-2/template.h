#ifndef REVIEW_STANDIN_2_TEMPLATE_H
#define REVIEW_STANDIN_2_TEMPLATE_H

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace review {

// Fills in a template of settings as DEPLOY.md describes it: values, sections
// and sections for absent values.
[[nodiscard]] std::string fillTemplate(std::string_view Text,
                                       const nlohmann::json &Fields);

} // namespace review

#endif
