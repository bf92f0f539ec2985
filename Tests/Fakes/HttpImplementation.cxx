// Compiles Asio and Beast once for the programs of this folder.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
