// Tests that fail for a known fault, as KNOWN-RED.txt lists them.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace parsleycove {

// Returns the tests of one program, as Group.Name, from the text of the list.
// An entry begins with a line "test: PROGRAM Group.Name"; other lines are for
// the reader.
std::vector<std::string>
FindKnownRed(std::string_view aList, std::string_view aProgram);

} // namespace parsleycove
