#ifndef POLICY_TEST_CONFIG_SPREAD_MODEL_CALLS_H
#define POLICY_TEST_CONFIG_SPREAD_MODEL_CALLS_H

#include "spread_model.h"

#include <cstddef>
#include <functional>

namespace magnolia::policy::test {

// Response of a call: its size, and what the caller does with it.
struct Response {
  std::size_t Bytes = 0;
  std::function<void()> OnArrival;
};

// Runs the work at that time.
void at(SpreadModel &Model, TimePoint Time, std::function<void()> Work);

// Occupies the processor of the node, and runs the work when it is done.
void process(SpreadModel &Model, std::size_t Node, Duration Cost,
             std::function<void()> Work);

// Calls another node. Serve runs there; OnFailure runs at the deadline if the
// response has not arrived.
void call(SpreadModel &Model, std::size_t From, std::size_t To,
          std::size_t RequestBytes, Duration Timeout,
          std::function<Response()> Serve,
          std::function<void()> OnFailure = {});

} // namespace magnolia::policy::test

#endif
