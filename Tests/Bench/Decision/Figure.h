// One line of a bench's output.
#pragma once

#include <cstdint>
#include <string>

namespace parsleycove {

// A measured figure; fields that don't apply stay empty or zero.
struct Figure
{
  std::string m_figure;
  double m_value = 0;
  std::string m_unit;
  // What the figure is compared with, and the figure's ratio to it.
  std::string m_baseline;
  double m_ratio = 0;
  std::string m_target;
  std::uint64_t m_seed = 0;
};

// Writes the figure as one line of JSON to standard output.
void
Print(const Figure& aFigure);

} // namespace parsleycove
