#pragma once

// criterion.h must come before parameterized.h: the other order leaves its Test macro undefined.
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <cstddef>
#include <iterator>
#include <numeric>

namespace dogwoodhall {

// Parameters for a test over a table of rows: the rows' indices. Criterion runs each test in a process started anew,
// with a copy of the parameter's bytes, so that a parameter that holds a pointer or a std::string is not valid there;
// an index into a constant table is.
template <typename Row, std::size_t count> auto rowIndices(const Row (&)[count])
{
    static std::size_t indices[count];
    std::iota(std::begin(indices), std::end(indices), std::size_t { 0 });
    return cr_make_param_array(std::size_t, indices, count);
}

} // namespace dogwoodhall
