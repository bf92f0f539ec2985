// Where finished lines of a log go.
#pragma once

#include <string>

namespace parsleycove {

class LineSink
{
public:
  virtual ~LineSink() = default;
  // Must not block.
  virtual void Write(const std::string& aLine) = 0;
};

} // namespace parsleycove
