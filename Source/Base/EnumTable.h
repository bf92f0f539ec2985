// Tables of names for enum classes.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace parsleycove {

// One row of a table of names.
template<typename Enum>
struct EnumName
{
  Enum m_value;
  std::string_view m_name;
};

// Returns the name of a value, or "?" for a value that the table lacks.
template<typename Enum, std::size_t Count>
constexpr std::string_view
NameOf(const std::array<EnumName<Enum>, Count>& aTable, Enum aValue)
{
  for (const auto& row : aTable) {
    if (row.m_value == aValue) {
      return row.m_name;
    }
  }
  return "?";
}

// Returns the value of a name, or nothing for a name that the table lacks.
template<typename Enum, std::size_t Count>
constexpr std::optional<Enum>
ValueOf(const std::array<EnumName<Enum>, Count>& aTable, std::string_view aName)
{
  for (const auto& row : aTable) {
    if (row.m_name == aName) {
      return row.m_value;
    }
  }
  return std::nullopt;
}

} // namespace parsleycove
