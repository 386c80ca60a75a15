#include "backend/run_record.h"

namespace magnolia::standin {

void RunRecord::started(const std::string &RequestId,
                        const std::string &Token) {
  if (ByToken.size() >= MostEntries || ById.size() >= MostEntries) {
    ++Unrecorded;
    return;
  }
  if (!Token.empty()) {
    ++ByToken[Token];
  }
  if (!RequestId.empty() && ++ById[RequestId] == 2) {
    ++Repeated;
  }
}

void RunRecord::arrived(std::int64_t WallMs) {
  ++Requests;
  LastMs = WallMs;
}

} // namespace magnolia::standin
