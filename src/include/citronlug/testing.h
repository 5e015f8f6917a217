#pragma once

// Include this header first in each test. CppUTest replaces operator new by macros, so standard and
// RapidCheck headers must precede it; its leak check would count RapidCheck's allocations as leaks, so it is
// disabled.

#include <citronlug/types.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include <fmt/format.h>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace citronlug::testing {

/// Base class of all test groups. Groups are nested by inheritance: TEST_GROUP_BASE(inner, outer).
struct test_base : public Utest {
    test_base() { MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(); }
};

/// Point in time `since_start` after an arbitrary start.
[[nodiscard]] inline auto at(duration since_start) -> time_point {
    return time_point{} + 1h + since_start;
}

/// Runs a RapidCheck property and fails the running test if it is falsified. The seed comes from RC_PARAMS.
template <class Property>
auto check_property(const char* description, Property&& property) -> void {
    if (!rc::check(description, std::forward<Property>(property))) {
        FAIL(description);
    }
}

} // namespace citronlug::testing
