// Keeps the lines of a decision log.
#pragma once

#include <string>
#include <vector>

#include "Telemetry/DecisionLog.h"

namespace parsleycove {

class MemorySink final : public LineSink
{
public:
  void Write(const std::string& aLine) override { m_lines.push_back(aLine); }

  const std::vector<std::string>& Lines() const { return m_lines; }
  // Whether some line holds all of these texts.
  bool Has(const std::vector<std::string>& aTexts) const;

private:
  std::vector<std::string> m_lines;
};

} // namespace parsleycove
