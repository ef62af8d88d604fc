// Headers that most tests include and that rarely change.
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <nlohmann/json.hpp>
