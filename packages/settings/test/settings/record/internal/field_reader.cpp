#include "settings/record/backend_record.h"
#include "settings/record/parse_record.h"
#include "settings/record/routing_text.h"

#include <gtest/gtest.h>

#include <pthread.h>

#include <functional>
#include <string>
#include <string_view>

namespace magnolia::settings {
namespace {

// Stack of a fiber of the daemon, in bytes.
constexpr std::size_t FiberStack = std::size_t{256} << 10;
constexpr std::size_t Levels = 100'000;

std::string nested(std::string_view Open, std::string_view Close) {
  std::string Text;
  for (std::size_t I = 0; I < Levels; ++I) {
    Text += Open;
  }
  for (std::size_t I = 0; I < Levels; ++I) {
    Text += Close;
  }
  return Text;
}

void runOnFiberStack(std::function<void()> Work) {
  pthread_attr_t Attributes;
  ASSERT_EQ(pthread_attr_init(&Attributes), 0);
  ASSERT_EQ(pthread_attr_setstacksize(&Attributes, FiberStack), 0);
  pthread_t Thread{};
  const auto Run = [](void *Given) -> void * {
    (*static_cast<std::function<void()> *>(Given))();
    return nullptr;
  };
  ASSERT_EQ(pthread_create(&Thread, &Attributes, Run, &Work), 0);
  pthread_join(Thread, nullptr);
  pthread_attr_destroy(&Attributes);
}

struct NestedRow {
  const char *Failure;
  // Text before and after the nested value.
  std::string_view Before;
  std::string_view After;
  std::function<bool(std::string_view, policy::Error &)> Reads;
};

// Guards against one record of another writer, nested very deeply, that
// overflows the stack of every process that reads it.
TEST(FieldReader, DeeplyNestedRecordIsRejectedOnASmallStack) {
  const auto Service = [](std::string_view Value, policy::Error &LastError) {
    return parseService(Value, LastError).has_value();
  };
  const auto Routing = [](std::string_view Value, policy::Error &LastError) {
    return parseRouting(Value, LastError).has_value();
  };
  const auto Backend = [](std::string_view Value, policy::Error &LastError) {
    return parseBackend(Value, LastError).has_value();
  };
  const NestedRow Rows[] = {
      {"the value itself", "", "", Service},
      {"an unknown field", R"({"x":)", "}", Backend},
      {"a field of another type", R"({"port":)", "}", Backend},
      {"a route of a service",
       R"({"service":"a","operation_id":"b","routes":[{"prefix":"/","x":)",
       "}]}", Service},
      {"a route of the routing table",
       R"({"version":1,"routes":[{"name":"r","x":)", "}]}", Routing},
      {"the limits of the callers", R"({"version":1,"callers":{"x":)", "}}",
       Routing},
  };
  for (const NestedRow &Row : Rows) {
    const std::string Value =
        std::string(Row.Before).append(nested("[", "]")).append(Row.After);
    runOnFiberStack([&] {
      policy::Error LastError;
      EXPECT_FALSE(Row.Reads(Value, LastError)) << Row.Failure;
      EXPECT_FALSE(LastError.Detail.empty()) << Row.Failure;
    });
  }
}

} // namespace
} // namespace magnolia::settings
