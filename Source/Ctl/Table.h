// Prints JSON rows as a table for people.
#pragma once

#include <ostream>
#include <string_view>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace parsleycove {

// One column for each named field; a field that a row lacks is left blank.
void
PrintTable(const boost::json::array& aRows,
           const std::vector<std::string_view>& aFields,
           std::ostream& aOut);

// One line "field: value" for each field.
void
PrintFields(const boost::json::object& aObject, std::ostream& aOut);

// Returns the array of that name, or an empty one.
boost::json::array
ArrayOf(const boost::json::object& aObject, std::string_view aName);

// Returns the field as plain text: strings without quotes.
std::string
TextOf(const boost::json::object& aObject, std::string_view aName);

} // namespace parsleycove
