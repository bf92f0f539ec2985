// Tests moving the boundaries between the engines of a chain.
#include <algorithm>
#include <vector>

#include "Routing/LayerShift.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

bool
HoldAll(const std::vector<LayerSpan>& aSpans, std::uint32_t aLayers)
{
  std::vector<bool> held(aLayers, false);
  for (const LayerSpan& span : aSpans) {
    for (std::uint32_t i = span.m_first; i < span.m_end; ++i) {
      held[i] = true;
    }
  }
  return std::all_of(held.begin(), held.end(), [](bool aIs) { return aIs; });
}

} // namespace

// clang-format off
TEST_GROUP(LayerShift)
{
};
// clang-format on

TEST(LayerShift, NothingMovesInAWholeChain)
{
  const std::vector<ShiftHost> hosts{ { { 0, 4 }, 6 }, { { 4, 8 }, 6 } };
  const LayerShift shift = ShiftLayers(8, hosts);
  CHECK_EQUAL(0U, shift.m_cost);
  CHECK(shift.m_spans[0] == hosts[0].m_holds);
  CHECK(shift.m_spans[1] == hosts[1].m_holds);
}

TEST(LayerShift, ASmallGapIsSharedByItsNeighbours)
{
  const LayerShift shift =
    ShiftLayers(12, { { { 0, 4 }, 6 }, { { 8, 12 }, 6 } });
  CHECK_EQUAL(8U, shift.m_cost);
  CHECK(shift.m_spans[0] == (LayerSpan{ 0, 6 }));
  CHECK(shift.m_spans[1] == (LayerSpan{ 6, 12 }));
}

// Fault pattern: the engine in the middle of a chain is lost, and every other
// engine has memory for one more layer. All engines move by a few layers; none
// loads as many layers as were lost.
TEST(LayerShift, AGapIsClosedFromAllSidesInTheOrderOfTheChain)
{
  std::vector<ShiftHost> hosts;
  for (std::uint32_t first = 0; first < 36; first += 4) {
    if (first != 16) {
      hosts.push_back({ { first, first + 4 }, 5 });
    }
  }
  const LayerShift shift = ShiftLayers(36, hosts);
  CHECK(HoldAll(shift.m_spans, 36));
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    CHECK(shift.m_spans[i].Length() <= 5);
    CHECK(i == 0 || shift.m_spans[i - 1].m_first <= shift.m_spans[i].m_first);
  }
  // With a layout from scratch, half of the engines would load 4 layers or
  // more. Here they load at most 4, 3, 2 and 1 on each side of the uncovered
  // range.
  CHECK(shift.m_cost <= 60);
}

TEST(LayerShift, AnEngineKeepsWhatItHoldsBesideItsPart)
{
  // The second engine has memory for the uncovered layer and for its own
  // layers.
  const LayerShift shift = ShiftLayers(8, { { { 0, 3 }, 3 }, { { 4, 8 }, 8 } });
  CHECK(shift.m_spans[1] == (LayerSpan{ 3, 8 }));
}

TEST(LayerShift, NoSpansWhereTheMemoryDoesNotReach)
{
  CHECK(ShiftLayers(9, { { { 0, 4 }, 4 }, { { 4, 8 }, 4 } }).m_spans.empty());
  CHECK(ShiftLayers(2, {}).m_spans.empty());
}

TEST(LayerShift, EmptyEnginesTakeNoPart)
{
  const LayerShift shift = ShiftLayers(4, { { {}, 9 }, { { 0, 4 }, 4 } });
  CHECK(shift.m_spans[0].IsEmpty());
  CHECK(shift.m_spans[1] == (LayerSpan{ 0, 4 }));
}
