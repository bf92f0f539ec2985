// One line of a bench's output.
#include "Bench/Decision/Figure.h"

#include <iostream>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace parsleycove {

void
Print(const Figure& aFigure)
{
  boost::json::object line;
  line["figure"] = aFigure.m_figure;
  line["value"] = aFigure.m_value;
  line["unit"] = aFigure.m_unit;
  line["baseline"] = aFigure.m_baseline;
  line["ratio"] = aFigure.m_ratio;
  line["target"] = aFigure.m_target;
  line["seed"] = aFigure.m_seed;
  std::cout << boost::json::serialize(line) << std::endl;
}

} // namespace parsleycove
