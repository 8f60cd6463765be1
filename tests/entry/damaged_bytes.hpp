#pragma once

#include "src/base/random.hpp"

#include <array>
#include <string>

namespace tanagerlead::test
{

constexpr std::array extreme_numbers{
    "0",          "-1",
    "4294967296", "9223372036854775807",
    "1e300",      "-1e9",
    "nan",        "0.5",
    "1,",         "9223372036854775807,9223372036854775807",
    "99999999",   "18446744073709551615",
};

/// Makes damaged copies of a message: cut short, with bytes replaced, with a
/// piece repeated, with a number replaced by an extreme one, or random bytes.
class damaged_bytes
{
public:
    explicit damaged_bytes(std::uint64_t seed) : random_{seed} {}

    std::string operator()(std::string text)
    {
        switch (random_.below(8))
        {
        case 0:
            text.resize(random_.below(text.size() + 1));
            break;
        case 1:
            text = random_text();
            break;
        case 2:
            text.insert(random_.below(text.size() + 1), random_text());
            break;
        case 3:
        {
            auto const begin = random_.below(text.size() + 1);
            text.insert(begin, text.substr(begin, random_.below(60)));
            break;
        }
        case 4:
        case 5:
            replace_number(text);
            break;
        default:
            break;
        }
        for (auto flips = random_.below(4); flips > 0 && !text.empty(); --flips)
        {
            text[random_.below(text.size())] = static_cast<char>(random_());
        }
        return text;
    }

private:
    std::string random_text()
    {
        std::string out(random_.below(300), '\0');
        for (auto& byte : out)
        {
            byte = static_cast<char>(random_());
        }
        return out;
    }

    void replace_number(std::string& text)
    {
        auto const begin =
            text.find_first_of("0123456789", random_.below(text.size() + 1));
        if (begin != std::string::npos)
        {
            auto const end = text.find_first_not_of("0123456789.", begin);
            text.replace(
                begin, end - begin,
                extreme_numbers[random_.below(extreme_numbers.size())]);
        }
    }

    base::random_source random_;
};

} // namespace tanagerlead::test
