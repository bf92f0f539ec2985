// Reads the fields of one JSON object and notes the first fault.
#pragma once

#include <concepts>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "State/StateReason.h"

namespace parsleycove {

// Each Read call takes one field; Finish refuses the fields that none took.
//
// After the first fault the later calls do nothing.
class JsonFields
{
public:
  // aPath names the object in texts, empty for the outermost. A value that is
  // not an object is a fault.
  JsonFields(const boost::json::value& aValue,
             std::string aPath,
             StateReason& aReason);

  void ReadText(std::string_view aName, std::string& aTarget);
  void ReadTexts(std::string_view aName, std::vector<std::string>& aTarget);
  void ReadFlag(std::string_view aName, bool& aTarget);
  template<std::unsigned_integral Number>
  void ReadNumber(std::string_view aName, Number& aTarget)
  {
    std::uint64_t number = aTarget;
    ReadUnsigned(aName, std::numeric_limits<Number>::max(), number);
    aTarget = static_cast<Number>(number);
  }
  // Returns null when the field is not there.
  const boost::json::value* Take(std::string_view aName);
  // Makes a field's absence a fault.
  void Require(std::string_view aName);
  // False when there was a fault or a field is left over.
  bool Finish();
  void Refuse(std::string_view aName, const std::string& aExpected);

  std::string PathOf(std::string_view aName) const;
  bool IsGood() const { return m_reason.m_code == StateError::None; }

private:
  void ReadUnsigned(std::string_view aName,
                    std::uint64_t aMost,
                    std::uint64_t& aTarget);

  const boost::json::object* m_object = nullptr;
  std::string m_path;
  StateReason& m_reason;
  std::vector<std::string_view> m_taken;
};

} // namespace parsleycove
