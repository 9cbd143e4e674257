#pragma once

// criterion.h must come before parameterized.h: the other order leaves its Test macro undefined.
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <cstddef>
#include <iterator>
#include <numeric>

namespace dogwoodhall {

// Parameters for a test over a table of rows: the row indices. Criterion runs each test in a new process with a
// bytewise copy of the parameter, in which pointers and std::string members are invalid, while an index into a constant
// table is valid.
template <typename Row, std::size_t count> auto rowIndices(const Row (&)[count])
{
    static std::size_t indices[count];
    std::iota(std::begin(indices), std::end(indices), std::size_t { 0 });
    return cr_make_param_array(std::size_t, indices, count);
}

} // namespace dogwoodhall
