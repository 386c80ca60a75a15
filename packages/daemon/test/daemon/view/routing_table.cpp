#include "daemon/view/routing_table.h"

#include "settings/record/routing_change.h"
#include "settings/record/routing_lines.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace magnolia::daemon {
namespace {

using settings::HostRoute;
using Random = std::mt19937_64;

// Table in effect on a node and the lines from which it was made.
struct Node {
  settings::RoutingLines Lines;
  RoutingTable Table;
  policy::Error LastError;

  bool apply(const std::string &Value) {
    LastError = {};
    const auto Change = settings::compareRouting(Lines, Value, LastError);
    if (!Change) {
      return false;
    }
    auto Next = withChange(Table, *Change, LastError);
    if (!Next) {
      return false;
    }
    settings::remember(Lines, Value, *Change);
    Table = *std::move(Next);
    return true;
  }
};

std::vector<HostRoute> routesOf(const RoutingTable &Table) {
  std::vector<HostRoute> Routes;
  for (const auto &Block : Table.Routes.Blocks) {
    for (const RouteIndex::Route &Route : *Block) {
      Routes.push_back(*Route);
    }
  }
  return Routes;
}

std::set<const HostRoute *> objectsOf(const RoutingTable &Table) {
  std::set<const HostRoute *> Objects;
  for (const auto &Block : Table.Routes.Blocks) {
    for (const RouteIndex::Route &Route : *Block) {
      Objects.insert(Route.get());
    }
  }
  return Objects;
}

std::size_t below(Random &Engine, std::size_t Limit) {
  return static_cast<std::size_t>(Engine() % Limit);
}

std::string text(Random &Engine, std::size_t MaxSize) {
  std::string Result(1 + below(Engine, MaxSize), 'a');
  for (char &Character : Result) {
    Character = "ab/"[below(Engine, 3)];
  }
  return Result;
}

std::string routeLine(Random &Engine) {
  return std::string("[\"h").append(std::to_string(below(Engine, 3))) +
         "\",\"/" + text(Engine, 6) + "\",\"r" +
         std::to_string(below(Engine, 20)) + "\",\"s" +
         std::to_string(below(Engine, 4)) + "\",false," +
         std::to_string(below(Engine, 3)) +
         (below(Engine, 4) == 0 ? ",0,1,0,true]" : "]");
}

std::string serviceLine(Random &Engine) {
  return std::string("{\"service\":\"s")
             .append(std::to_string(below(Engine, 40))) +
         "\",\"connections\":" + std::to_string(below(Engine, 3)) + "}";
}

std::string organisationLine(Random &Engine) {
  return std::string("{\"organisation\":\"o")
             .append(std::to_string(below(Engine, 40))) +
         "\",\"keys\":[\"k" + std::to_string(below(Engine, 60)) + "\"]}";
}

std::string malformedLine(Random &Engine) {
  const char *const Lines[] = {
      "", "7", "[", "{", "[\"h\"]", "{\"service\":\"a/b\"}", "[\"h\",\"/\",1]"};
  return Lines[below(Engine, std::size(Lines))];
}

// Makes one random change of the lines of a table.
void mutate(std::vector<std::string> &Lines, Random &Engine) {
  const auto Place = [&] {
    return Lines.begin() +
           static_cast<std::ptrdiff_t>(below(Engine, Lines.size() + 1));
  };
  const auto Existing = [&] {
    return Lines.begin() +
           static_cast<std::ptrdiff_t>(below(Engine, Lines.size()));
  };
  switch (below(Engine, Lines.empty() ? 2 : 10)) {
  case 0:
  case 1:
    Lines.insert(Place(), routeLine(Engine));
    break;
  case 2:
    Lines.insert(Place(), serviceLine(Engine));
    break;
  case 3:
  case 4:
    Lines.erase(Existing());
    break;
  case 5:
    *Existing() = routeLine(Engine);
    break;
  case 6:
    Lines.push_back(*Existing());
    break;
  case 8:
    Lines.insert(Place(), organisationLine(Engine));
    break;
  case 7:
    std::shuffle(Lines.begin(), Lines.end(), Engine);
    break;
  default:
    std::sort(Lines.begin(), Lines.end());
    break;
  }
}

std::string valueOf(std::uint64_t Version,
                    const std::vector<std::string> &Lines) {
  std::string Value =
      std::string("{\"version\":").append(std::to_string(Version)) + "}";
  for (const std::string &Line : Lines) {
    Value.append("\n").append(Line);
  }
  return Value;
}

void expectEqual(const RoutingTable &Table, const RoutingTable &Expected) {
  EXPECT_EQ(Table.Version, Expected.Version);
  EXPECT_EQ(Table.Routes.Size, Expected.Routes.Size);
  EXPECT_TRUE(routesOf(Table) == routesOf(Expected));
  EXPECT_EQ(*Table.Services, *Expected.Services);
  const auto &Organisations = Table.Organisations->Organisations;
  EXPECT_EQ(Organisations.size(), Expected.Organisations->Organisations.size());
  EXPECT_EQ(Table.Organisations->Keys.size(),
            Expected.Organisations->Keys.size());
  for (const auto &[Name, Record] : Expected.Organisations->Organisations) {
    const auto Found = Organisations.find(Name);
    EXPECT_TRUE(Found != Organisations.end() && *Found->second == *Record);
  }
  EXPECT_EQ(Table.Callers, Expected.Callers);
  EXPECT_EQ(Table.BulkRoutes, Expected.BulkRoutes);
  const std::vector<HostRoute> Routes = routesOf(Table);
  EXPECT_EQ(hasBulkRoutes(Table),
            std::any_of(Routes.begin(), Routes.end(),
                        [](const HostRoute &Route) { return Route.Bulk; }));
}

// Guards against a table that depends on the versions before it: nodes that
// received other versions would route the same request differently.
TEST(RoutingTable, ChangesGiveTheTableOfAParseFromScratch) {
  constexpr int Seeds = 40;
  constexpr int Versions = 150;
  int Rejected = 0;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    Random Engine(static_cast<std::uint64_t>(Seed));
    Node Changed;
    std::vector<std::string> Lines;
    std::vector<std::string> LastGood;
    std::vector<std::string> History;
    // Some seeds have tables of several blocks.
    Lines.resize(Seed % 8 == 0 ? 600 : 20);
    std::generate(Lines.begin(), Lines.end(),
                  [&Engine] { return routeLine(Engine); });
    for (int Version = 1; Version <= Versions; ++Version) {
      for (std::size_t Left = below(Engine, 4); Left > 0; --Left) {
        mutate(Lines, Engine);
      }
      std::vector<std::string> Sent = Lines;
      if (below(Engine, 8) == 0) {
        Sent.insert(Sent.begin() + static_cast<std::ptrdiff_t>(
                                       below(Engine, Sent.size() + 1)),
                    malformedLine(Engine));
      }
      std::string Value = valueOf(static_cast<std::uint64_t>(Version), Sent);
      if (!History.empty() && below(Engine, 5) == 0) {
        Value = History[below(Engine, History.size())];
      }
      History.push_back(Value);
      Node Scratch;
      const RoutingTable Before = Changed.Table;
      const bool IsValid = Scratch.apply(Value);
      ASSERT_EQ(Changed.apply(Value), IsValid) << Seed << " " << Value;
      EXPECT_EQ(Changed.LastError.Detail, Scratch.LastError.Detail);
      expectEqual(Changed.Table, IsValid ? Scratch.Table : Before);
      ASSERT_FALSE(HasFailure()) << "seed " << Seed << " version " << Version;
      Rejected += IsValid ? 0 : 1;
      (IsValid ? LastGood : Lines) = IsValid ? Lines : LastGood;
    }
  }
  EXPECT_GT(Rejected, Seeds);
  EXPECT_LT(Rejected, Seeds * Versions / 2);
}

// Guards against a route that stays in the table because its equal lines lay in
// two blocks, of which a change of the line reached only one.
TEST(RoutingTable, EqualLinesAreRemovedTogether) {
  std::vector<std::string> Lines;
  for (std::size_t Route = 0; Route < 100; ++Route) {
    Lines.push_back(
        std::string("[\"h\",\"/").append(std::to_string(100 + Route)) +
        "\",\"r\",\"s\"]");
  }
  Node Changed;
  ASSERT_TRUE(Changed.apply(valueOf(1, Lines)));
  const std::vector<std::string> Once = Lines;
  Lines.insert(Lines.begin() + 50, 300, Lines[50]);
  ASSERT_TRUE(Changed.apply(valueOf(2, Lines)));
  EXPECT_EQ(Changed.Table.Routes.Size, 400U);
  ASSERT_TRUE(Changed.apply(valueOf(3, Once)));
  EXPECT_EQ(Changed.Table.Routes.Size, 100U);
}

// Guards against a version that copies or rebuilds the routes that it leaves as
// they are.
TEST(RoutingTable, UnchangedRoutesAreShared) {
  constexpr std::size_t Routes = 5'000;
  std::vector<std::string> Lines;
  for (std::size_t Route = 0; Route < Routes; ++Route) {
    Lines.push_back(std::string("[\"h\",\"/").append(std::to_string(Route)) +
                    "/\",\"r\",\"s\"]");
  }
  std::sort(Lines.begin(), Lines.end());
  Node Changed;
  ASSERT_TRUE(Changed.apply(valueOf(1, Lines)));
  const RoutingTable Before = Changed.Table;
  Lines[Routes / 2].insert(Lines[Routes / 2].size() - 1, ",true");
  ASSERT_TRUE(Changed.apply(valueOf(2, Lines)));
  const auto Old = objectsOf(Before);
  std::size_t New = 0;
  for (const HostRoute *Route : objectsOf(Changed.Table)) {
    New += Old.contains(Route) ? 0 : 1;
  }
  EXPECT_EQ(New, 1U);
  std::size_t NewBlocks = 0;
  for (const auto &Block : Changed.Table.Routes.Blocks) {
    NewBlocks += std::count(Before.Routes.Blocks.begin(),
                            Before.Routes.Blocks.end(), Block) == 0
                     ? 1
                     : 0;
  }
  EXPECT_LE(NewBlocks, 2U);
  EXPECT_EQ(Changed.Table.Services, Before.Services);
}

// Guards against an index whose blocks stay when their routes go, so that each
// version costs as much as the largest table there ever was.
TEST(RoutingTable, FewRoutesLieInFewBlocks) {
  Random Engine(1);
  std::vector<std::string> Lines;
  for (std::size_t Route = 0; Route < 10'000; ++Route) {
    Lines.push_back(std::string("[\"h\",\"/").append(std::to_string(Route)) +
                    "/\",\"r\",\"s\"]");
  }
  Node Changed;
  ASSERT_TRUE(Changed.apply(valueOf(1, Lines)));
  std::shuffle(Lines.begin(), Lines.end(), Engine);
  for (std::uint64_t Version = 2; Lines.size() > 1'000; ++Version) {
    Lines.resize(Lines.size() - 500);
    std::vector<std::string> Sorted = Lines;
    std::sort(Sorted.begin(), Sorted.end());
    ASSERT_TRUE(Changed.apply(valueOf(Version, Sorted)));
  }
  EXPECT_LE(Changed.Table.Routes.Blocks.size(), 2 * 1'000U / 64);
}

// Guards against a service with two limits, of which each node takes another.
TEST(RoutingTable, ServiceWithTwoLinesIsRejected) {
  Node Changed;
  EXPECT_TRUE(Changed.apply("{\"version\":1}\n{\"service\":\"s\"}"));
  EXPECT_FALSE(
      Changed.apply("{\"version\":2}\n{\"service\":\"s\",\"connections\":2}\n"
                    "{\"service\":\"s\"}"));
  EXPECT_NE(Changed.LastError.Detail.find("service s"), std::string::npos);
  EXPECT_EQ(Changed.Table.Version, 1U);
  EXPECT_TRUE(
      Changed.apply("{\"version\":3}\n{\"service\":\"s\",\"connections\":3}"));
  EXPECT_EQ(Changed.Table.Services->at("s").Connections, 3U);
}

// Returns the route as a scan of all routes finds it.
const HostRoute *scan(const RoutingTable &Table, std::string_view Host,
                      std::string_view Path) {
  const HostRoute *Best = nullptr;
  for (const auto &Block : Table.Routes.Blocks) {
    for (const RouteIndex::Route &Route : *Block) {
      if (Route->Host == Host && Path.starts_with(Route->Prefix) &&
          (Best == nullptr || Route->Prefix.size() > Best->Prefix.size() ||
           (Route->Prefix == Best->Prefix && Route->Name < Best->Name))) {
        Best = Route.get();
      }
    }
  }
  return Best;
}

// Guards against a request that takes another route than the one with the
// longest prefix, or none.
TEST(RoutingTable, LookupFindsWhatAScanFinds) {
  constexpr int Seeds = 60;
  constexpr int Paths = 400;
  int Found = 0;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    Random Engine(static_cast<std::uint64_t>(Seed));
    std::set<std::string> Lines;
    const std::size_t Routes = 1 + below(Engine, Seed % 5 == 0 ? 1'000 : 40);
    while (Lines.size() < Routes) {
      const std::size_t Host = below(Engine, 3);
      std::string Prefix = text(Engine, 1 + below(Engine, 12));
      if (below(Engine, 4) != 0) {
        Prefix = std::string("/").append(Prefix);
      }
      Lines.insert(std::string("[\"h").append(std::to_string(Host)) + "\",\"" +
                   Prefix + "\",\"r" + std::to_string(below(Engine, 30)) +
                   "\",\"s\"]");
    }
    Node Built;
    ASSERT_TRUE(Built.apply(valueOf(1, {Lines.begin(), Lines.end()})));
    for (int Path = 0; Path < Paths; ++Path) {
      const std::string Host =
          std::string("h").append(std::to_string(below(Engine, 4)));
      std::string Target = below(Engine, 20) == 0
                               ? ""
                               : std::string("/").append(text(Engine, 14));
      const HostRoute *const Expected = scan(Built.Table, Host, Target);
      ASSERT_EQ(findRoute(Built.Table, Host, Target), Expected)
          << "seed " << Seed << " " << Host << Target;
      Found += Expected != nullptr ? 1 : 0;
    }
  }
  EXPECT_GT(Found, Seeds * Paths / 10);
}

// Guards against a lookup without a table that ends the program.
TEST(RoutingTable, EmptyTableHasNoRoute) {
  EXPECT_EQ(findRoute(RoutingTable{}, "h", "/"), nullptr);
}

} // namespace
} // namespace magnolia::daemon
