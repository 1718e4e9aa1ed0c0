#include "mutator.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace waxwingnotch::fuzz {

namespace {

// Limits of the integer types and of doubles, and their neighbours.
constexpr std::array numbers = {"0",
                                "-1",
                                "1",
                                "0.5",
                                "-0.0",
                                "255",
                                "256",
                                "65535",
                                "65536",
                                "999999",
                                "1000000",
                                "1000001",
                                "2147483647",
                                "2147483648",
                                "-2147483648",
                                "-2147483649",
                                "4294967295",
                                "4294967296",
                                "9007199254740991",
                                "9007199254740993",
                                "9223372036854775807",
                                "9223372036854775808",
                                "-9223372036854775808",
                                "-9223372036854775809",
                                "18446744073709551615",
                                "18446744073709551616",
                                "1e18",
                                "9.3e18",
                                "1e19",
                                "-1e19",
                                "1e308",
                                "-1e308",
                                "1e-320",
                                "1e400"};
constexpr std::array values = {"null", "true", "false", "[]", "{}", "\"\"", "[[]]", "{\"a\":{}}"};
constexpr std::array invalid_utf8 = {"\xff", "\xc0\x80", "\xed\xa0\x80", "\xf5\x80\x80\x80", "\xe2\x82"};

class document_mutator {
public:
    document_mutator(input_form form, std::string input, std::uint32_t seed, std::size_t max_size)
        : form_(form), text_(std::move(input)), random_(seed), max_size_(max_size)
    {
    }

    std::string run()
    {
        constexpr std::size_t mutations = 8;
        switch (below(mutations)) {
        case 0:
            nest();
            break;
        case 1:
        case 2:
            form_ == input_form::cbor ? replace_cbor_number() : replace_number();
            break;
        case 3:
            form_ == input_form::cbor ? insert_cbor_item() : replace_value();
            break;
        case 4:
            duplicate();
            break;
        case 5:
            text_.resize(below(text_.size() + 1));
            break;
        case 6:
            insert(pick(invalid_utf8));
            break;
        default:
            erase();
            break;
        }
        if (text_.size() > max_size_) {
            text_.resize(max_size_);
        }
        return std::move(text_);
    }

private:
    std::size_t below(std::size_t limit) { return limit == 0 ? 0 : random_() % limit; }
    template <std::size_t Count>
    std::string pick(const std::array<const char*, Count>& items)
    {
        return items[below(Count)];
    }
    void insert(const std::string& bytes) { text_.insert(below(text_.size() + 1), bytes); }

    /// Inserts a deeply nested value. Depths are spread over the powers of two, so that most inputs stay
    /// small.
    void nest()
    {
        constexpr std::size_t max_power = 18;  // 262,144 levels, as many as a body has bytes by default
        const std::size_t depth = std::size_t{1} << below(max_power + 1);
        std::string opening;
        std::string closing;
        if (form_ == input_form::cbor) {
            // Array, map with a one-byte key, indefinite array, indefinite text and byte strings, tag.
            constexpr std::array heads = {"\x81", "\xa1\x60", "\x9f", "\x7f", "\x5f", "\xc1"};
            opening = pick(heads);
        }
        else {
            const bool list = below(2) == 0;
            opening = list ? "[" : "{\"a\":";
            closing = list ? "]" : "}";
        }
        std::string nested;
        for (std::size_t level = 0; level < depth && nested.size() < max_size_; ++level) {
            nested += opening;
        }
        nested += form_ == input_form::cbor ? std::string(1, '\0') : "0";
        if (!closing.empty()) {
            nested.append(depth, closing.front());
        }
        const std::size_t at = form_ == input_form::json ? value_start() : below(text_.size() + 1);
        text_.insert(at, nested + (form_ == input_form::json && below(2) == 0 ? "," : ""));
    }

    /// @return a place behind a colon, a comma or a bracket
    std::size_t value_start()
    {
        const std::size_t from = below(text_.size() + 1);
        const std::size_t found = text_.find_first_of(":,[", from);
        return found == std::string::npos ? from : found + 1;
    }

    void replace_number()
    {
        const std::size_t start = text_.find_first_of("0123456789", below(text_.size() + 1));
        if (start == std::string::npos) {
            insert(pick(numbers));
            return;
        }
        const std::size_t end = text_.find_first_not_of("0123456789.eE+-", start);
        text_.replace(start, (end == std::string::npos ? text_.size() : end) - start, pick(numbers));
    }

    void replace_value()
    {
        const std::size_t start = value_start();
        const std::size_t end = text_.find_first_of(",]}", start);
        const std::size_t size = (end == std::string::npos ? text_.size() : end) - start;
        text_.replace(start, size, below(2) == 0 ? pick(values) : pick(numbers));
    }

    /// Overwrites an item with an integer or a floating-point number at a limit.
    void replace_cbor_number()
    {
        static const std::array<std::string, 12> items = {
            std::string("\x1a\x7f\xff\xff\xff", 5),
            std::string("\x1a\x80\x00\x00\x00", 5),
            std::string("\x1a\xff\xff\xff\xff", 5),
            std::string("\x3a\x80\x00\x00\x00", 5),
            std::string("\x1b\x00\x1f\xff\xff\xff\xff\xff\xff", 9),
            std::string("\x1b\x7f\xff\xff\xff\xff\xff\xff\xff", 9),
            std::string("\x1b\x80\x00\x00\x00\x00\x00\x00\x00", 9),
            std::string("\x1b\xff\xff\xff\xff\xff\xff\xff\xff", 9),
            std::string("\x3b\x7f\xff\xff\xff\xff\xff\xff\xff", 9),
            std::string("\xfb\x7f\xe1\xcc\xf3\x85\xeb\xc8\xa0", 9),  // 1e308
            std::string("\xfb\x7f\xf0\x00\x00\x00\x00\x00\x00", 9),  // infinity
            std::string("\xf9\x7e\x00", 3),                          // not a number
        };
        const std::size_t at = below(text_.size() + 1);
        text_.replace(at, std::min<std::size_t>(1, text_.size() - at), items[below(items.size())]);
    }

    /// Inserts a head whose length is not backed by bytes.
    void insert_cbor_item()
    {
        static const std::array<std::string, 7> heads = {
            std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9),
            std::string("\xbb\xff\xff\xff\xff\xff\xff\xff\xff", 9),
            std::string("\x5b\x00\x00\x00\xff\xff\xff\xff\xff", 9),
            std::string("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff", 9),
            std::string("\x9a\xff\xff\xff\xff", 5),
            std::string("\xf6", 1),
            std::string("\xff", 1),
        };
        insert(heads[below(heads.size())]);
    }

    void duplicate()
    {
        const std::size_t start = below(text_.size());
        const std::string part = text_.substr(start, below(text_.size() - start) + 1);
        constexpr std::size_t max_power = 12;
        const std::size_t count = std::size_t{1} << below(max_power);
        std::string copies;
        for (std::size_t i = 0; i < count && copies.size() < max_size_ / 4; ++i) {
            copies += part;
            copies += form_ == input_form::json && below(2) == 0 ? "," : "";
        }
        text_.insert(start, copies);
    }

    void erase()
    {
        const std::size_t start = below(text_.size() + 1);
        text_.erase(start, below(16) + 1);
    }

    input_form form_;
    std::string text_;
    std::mt19937 random_;
    std::size_t max_size_;
};

}  // namespace

std::string mutate(input_form form, std::string input, std::uint32_t seed, std::size_t max_size)
{
    return document_mutator(form, std::move(input), seed, max_size).run();
}

}  // namespace waxwingnotch::fuzz
