#include "waxwingnotch/base/cbor_reader.hpp"

#include <array>
#include <cstdint>
#include <limits>
#include <optional>

namespace waxwingnotch {

using nlohmann::json;

namespace {

constexpr std::size_t max_nesting = 16;  // records need 5; tens of thousands of levels overflow the stack

enum class major_type : std::uint8_t { positive, negative, bytes, text, array, map, tag, simple };

// Additional information of a head.
constexpr unsigned one_byte_argument = 24;
constexpr unsigned eight_byte_argument = 27;
constexpr unsigned indefinite = 31;
constexpr unsigned simple_false = 20;
constexpr unsigned simple_null = 22;
constexpr unsigned break_byte = 0xff;

constexpr auto max_number = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());

struct item_head {
    major_type type = major_type::simple;
    unsigned info = 0;
    std::uint64_t argument = 0;
};

/// An array or map that is not complete yet.
struct open_container {
    bool ends_with_break = false;
    bool is_map = false;
    std::uint64_t items = 0;  // left; of one that ends with a break: seen
};

class cbor_checker {
public:
    explicit cbor_checker(std::string_view bytes) : rest_(bytes) {}

    bool run()
    {
        if (!read_item()) {
            return false;
        }
        while (nesting_ > 0) {
            open_container& container = containers_[nesting_ - 1];
            if (container.ends_with_break ? take_break(container) : container.items == 0) {
                --nesting_;
                continue;
            }
            container.items += container.ends_with_break ? 1 : -1;
            if (!read_item()) {
                return false;
            }
        }
        return true;
    }

private:
    std::optional<item_head> read_head()
    {
        if (rest_.empty()) {
            return std::nullopt;
        }
        const auto first = static_cast<unsigned char>(rest_.front());
        rest_.remove_prefix(1);
        item_head head{static_cast<major_type>(first >> 5U), first & 31U, first & 31U};
        if (head.info < one_byte_argument || head.info == indefinite) {
            return head;
        }
        if (head.info > eight_byte_argument) {
            return std::nullopt;
        }
        const std::size_t size = std::size_t{1} << (head.info - one_byte_argument);
        if (rest_.size() < size) {
            return std::nullopt;
        }
        head.argument = 0;
        for (const char byte : rest_.substr(0, size)) {
            head.argument = head.argument << 8U | static_cast<unsigned char>(byte);
        }
        rest_.remove_prefix(size);
        return head;
    }

    bool read_item()
    {
        const std::optional<item_head> head = read_head();
        if (!head) {
            return false;
        }
        switch (head->type) {
        case major_type::positive:
        case major_type::negative:
            return head->info != indefinite && head->argument <= max_number;
        case major_type::bytes:
        case major_type::text:
            return head->info == indefinite ? read_chunks(head->type) : skip(head->argument);
        case major_type::array:
        case major_type::map:
            return open(*head);
        case major_type::tag:
            return false;
        case major_type::simple:
            return head->info >= simple_false && head->info <= simple_null;
        }
        return false;
    }

    bool skip(std::uint64_t size)
    {
        if (size > rest_.size()) {
            return false;
        }
        rest_.remove_prefix(static_cast<std::size_t>(size));
        return true;
    }

    /// A string of indefinite length consists of strings of definite length. The library also accepts ones of
    /// indefinite length there, and follows them by recursion.
    bool read_chunks(major_type type)
    {
        for (;;) {
            const std::optional<item_head> head = read_head();
            if (head && head->type == major_type::simple && head->info == indefinite) {
                return true;
            }
            if (!head || head->type != type || head->info == indefinite || !skip(head->argument)) {
                return false;
            }
        }
    }

    bool open(const item_head& head)
    {
        const bool is_map = head.type == major_type::map;
        if (nesting_ == containers_.size() ||
            (head.info != indefinite && head.argument > rest_.size() / (is_map ? 2 : 1))) {
            return false;
        }
        containers_[nesting_++] = {head.info == indefinite, is_map,
                                   head.info == indefinite ? 0 : head.argument * (is_map ? 2 : 1)};
        return true;
    }

    /// @return whether the container ends here
    bool take_break(const open_container& container)
    {
        const bool complete = !container.is_map || container.items % 2 == 0;
        if (!complete || rest_.empty() || static_cast<unsigned char>(rest_.front()) != break_byte) {
            return false;
        }
        rest_.remove_prefix(1);
        return true;
    }

    std::string_view rest_;
    std::array<open_container, max_nesting> containers_;
    std::size_t nesting_ = 0;
};

}  // namespace

bool is_bounded_cbor(std::string_view bytes)
{
    return cbor_checker(bytes).run();
}

json parse_bounded_cbor(std::string_view bytes)
{
    if (!is_bounded_cbor(bytes)) {
        throw json::other_error::create(
            500, "not CBOR, nested too deeply, or with a number that is not a 64-bit integer", nullptr);
    }
    return json::from_cbor(bytes.begin(), bytes.end());
}

}  // namespace waxwingnotch
