#include "src/base/random.hpp"

#include <cassert>
#include <random>

namespace tanagerlead::base
{

random_source::result_type random_source::operator()()
{
    state_ += 0x9e3779b97f4a7c15U;
    auto z = state_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
}

double random_source::uniform()
{
    constexpr double scale = 0x1.0p-53;
    return static_cast<double>((*this)() >> 11U) * scale;
}

std::uint64_t random_source::below(std::uint64_t bound)
{
    assert(bound > 0);
    return (*this)() % bound;
}

std::uint64_t entropy()
{
    std::random_device device;
    auto const high = static_cast<std::uint64_t>(device()) << 32U;
    return high | device();
}

} // namespace tanagerlead::base
