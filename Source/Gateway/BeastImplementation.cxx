// Holds the one compiled copy of the HTTP library.
#include <boost/beast/src.hpp>
