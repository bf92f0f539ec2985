// Prints JSON rows as a table for people.
#include "Ctl/Table.h"

#include <algorithm>
#include <string>

#include <boost/json/serialize.hpp>

namespace parsleycove {

namespace {

void
PrintCell(const std::string& aText, std::size_t aWidth, std::ostream& aOut)
{
  aOut << aText << std::string(aWidth - aText.size() + 2, ' ');
}

} // namespace

std::string
TextOf(const boost::json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains({ aName.data(), aName.size() });
  if (value == nullptr) {
    return {};
  }
  return value->is_string() ? std::string(value->as_string().c_str())
                            : boost::json::serialize(*value);
}

boost::json::array
ArrayOf(const boost::json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains({ aName.data(), aName.size() });
  if (value == nullptr || !value->is_array()) {
    return {};
  }
  return value->as_array();
}

void
PrintTable(const boost::json::array& aRows,
           const std::vector<std::string_view>& aFields,
           std::ostream& aOut)
{
  std::vector<std::size_t> widths;
  for (const std::string_view field : aFields) {
    std::size_t width = field.size();
    for (const auto& row : aRows) {
      width = std::max(width, TextOf(row.as_object(), field).size());
    }
    widths.push_back(width);
  }
  for (std::size_t i = 0; i < aFields.size(); ++i) {
    PrintCell(std::string(aFields[i]), widths[i], aOut);
  }
  aOut << '\n';
  for (const auto& row : aRows) {
    for (std::size_t i = 0; i < aFields.size(); ++i) {
      PrintCell(TextOf(row.as_object(), aFields[i]), widths[i], aOut);
    }
    aOut << '\n';
  }
}

void
PrintFields(const boost::json::object& aObject, std::ostream& aOut)
{
  for (const auto& field : aObject) {
    const std::string_view name(field.key().data(), field.key().size());
    aOut << name << ": " << TextOf(aObject, name) << '\n';
  }
}

} // namespace parsleycove
