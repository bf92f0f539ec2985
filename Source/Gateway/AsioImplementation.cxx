// Holds the one compiled copy of the networking library.
#include <boost/asio/impl/src.hpp>
