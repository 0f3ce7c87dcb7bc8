// The main function of every test program of the system's packages.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
