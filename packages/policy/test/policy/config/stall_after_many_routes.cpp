#include "spread_model.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace magnolia::policy::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t Zones = 3;
constexpr std::size_t PerZone = 20;
constexpr std::size_t RouteBytes = 180;
// Time in which a version must be in effect everywhere.
constexpr Duration InEffect = milliseconds(2'500);
// Some pushes, notices and exchanges.
constexpr double SmallBytes = 8'192;
constexpr std::uint64_t Seeds = 10;

// Routing table with a route per line. All lines depend on the version, and one
// on the weight.
ConfigEntry table(std::uint64_t Revision, std::size_t Bytes,
                  std::size_t Version, std::size_t Weight) {
  std::string Value;
  for (std::size_t I = 0; Value.size() < Bytes; ++I) {
    std::string Line = "{\"route\":" + std::to_string(I * Version) +
                       ",\"weight\":" + std::to_string(I == 100 ? Weight : 1) +
                       "}";
    Line.resize(RouteBytes - 1, ' ');
    Value += Line + "\n";
  }
  return {.Key = ModelKey,
          .Revision = Revision,
          .Value = std::move(Value),
          .Tombstone = false};
}

struct SizeCase {
  const char *GuardsAgainst;
  std::size_t Bytes;
  // Rates of the links in bytes per second, of each fifth node and the others.
  double SlowLink;
  double OtherLink;
};

const SizeCase SizeCases[] = {
    {"nodes with a tenth of a core that stall on 1,400 more routes", 330'000,
     1'250'000, 1'250'000},
    {"nodes with a tenth of a core that stall on 400 more routes", 100'000,
     1'250'000, 1'250'000},
    {"nodes with a tenth of the link that stall on 1,400 more routes", 330'000,
     1'250'000, 12'500'000},
};

struct Measured {
  Duration ManyRoutes{};
  Duration OneWeight{};
  // Largest and mean number of bytes that a node received.
  double ManyRoutesBytes = 0;
  double OneWeightBytes = 0;
  double OneWeightMeanBytes = 0;
};

double mostReceived(const SpreadModel &Model) {
  return std::max_element(Model.Nodes.begin(), Model.Nodes.end(),
                          [](const ModelNode &Left, const ModelNode &Right) {
                            return Left.BytesReceived < Right.BytesReceived;
                          })
      ->BytesReceived;
}

Measured measure(const SizeCase &Case, Transfer Way, std::uint64_t Seed) {
  SpreadModel Model =
      makeModel(Way, Zones, PerZone, table(5, Case.Bytes / 4, 1, 1), Seed);
  for (ModelNode &Node : Model.Nodes) {
    Node.LinkBytesPerSecond = Case.OtherLink;
  }
  for (std::size_t I = 0; I < Model.Nodes.size(); I += 5) {
    Model.Nodes[I].Slowness = 10;
    Model.Nodes[I].LinkBytesPerSecond = Case.SlowLink;
  }
  startTimers(Model);
  runFor(Model, seconds(1));
  Measured Result;
  readByWatchers(Model, table(9, Case.Bytes, 2, 1));
  Result.ManyRoutes = runUntilAllHold(Model, 9, seconds(30));
  runFor(Model, seconds(3));
  Result.ManyRoutesBytes = mostReceived(Model);
  for (ModelNode &Node : Model.Nodes) {
    Node.BytesReceived = 0;
  }
  readByWatchers(Model, table(14, Case.Bytes, 2, 7));
  Result.OneWeight = runUntilAllHold(Model, 14, seconds(30));
  runFor(Model, seconds(3));
  Result.OneWeightBytes = mostReceived(Model);
  for (const ModelNode &Node : Model.Nodes) {
    Result.OneWeightMeanBytes +=
        Node.BytesReceived / static_cast<double>(Model.Nodes.size());
  }
  return Result;
}

TEST(ConfigSpread, NodesStallAfterManyRoutes) {
  for (const SizeCase &Case : SizeCases) {
    SCOPED_TRACE(Case.GuardsAgainst);
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      SCOPED_TRACE("seed " + std::to_string(Seed));
      const Measured Result = measure(Case, Transfer::Fetched, Seed);
      EXPECT_LE(Result.ManyRoutes, InEffect);
      EXPECT_LE(Result.OneWeight, InEffect);
      EXPECT_LE(Result.ManyRoutesBytes,
                1.5 * static_cast<double>(Case.Bytes) + SmallBytes);
      EXPECT_LE(Result.OneWeightBytes, SmallBytes);
    }
  }
}

// Guards against nodes that wait for ever for a watcher that announced the
// value and went silent, here without anyone noticing its failure.
TEST(ConfigSpread, AValueOutlivesTheNodesThatAnnouncedIt) {
  const ConfigEntry Changed = table(9, 330'000, 2, 1);
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    SCOPED_TRACE("seed " + std::to_string(Seed));
    SpreadModel Model = makeModel(Transfer::Fetched, Zones, PerZone,
                                  table(5, 100'000, 1, 1), Seed);
    startTimers(Model);
    runFor(Model, seconds(1));
    readByWatchers(Model, Changed);
    runFor(Model, milliseconds(100));
    bool Stopped = false;
    for (ModelNode &Node : Model.Nodes) {
      const bool Holds = Node.Table.Entries.at(ModelKey).Revision == 9;
      Node.Stopped = Holds && !Stopped;
      Stopped = Stopped || Holds;
    }
    EXPECT_TRUE(Stopped);
    EXPECT_LE(runUntilAllHold(Model, 9, seconds(30)), seconds(5));
  }
}

// Guards against a model in which the failure would not show: with whole values
// in pushes and exchanges, a changed weight must miss the bounds.
TEST(ConfigSpread, TheModelShowsTheStallOfWholeValues) {
  const Measured Result = measure(SizeCases[0], Transfer::Whole, 1);
  EXPECT_GT(Result.OneWeight, InEffect);
  EXPECT_GT(Result.OneWeightMeanBytes, static_cast<double>(SizeCases[0].Bytes));
}

} // namespace
} // namespace magnolia::policy::test
