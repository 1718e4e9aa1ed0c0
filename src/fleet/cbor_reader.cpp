#include "fleet/cbor_reader.hpp"

#include <cstdint>
#include <limits>

namespace waxwingnotch {

using nlohmann::json;

namespace {

constexpr int max_nesting = 16;  // records need 5; tens of thousands of levels overflow the stack

/// SAX handler that rejects deep nesting, floating-point numbers and integers beyond std::int64_t.
class cbor_validator : public nlohmann::json_sax<json> {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t value) override
    {
        return value <= static_cast<number_unsigned_t>(std::numeric_limits<std::int64_t>::max());
    }
    bool number_float(number_float_t, const string_t&) override { return false; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool key(string_t&) override { return true; }
    bool start_object(std::size_t) override { return ++nesting_ <= max_nesting; }
    bool start_array(std::size_t) override { return ++nesting_ <= max_nesting; }
    bool end_object() override { return end_container(); }
    bool end_array() override { return end_container(); }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override
    {
        return false;
    }

private:
    bool end_container()
    {
        --nesting_;
        return true;
    }
    int nesting_ = 0;
};

}  // namespace

json read_cbor(std::string_view bytes)
{
    cbor_validator validator;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &validator, json::input_format_t::cbor)) {
        throw json::other_error::create(
            500, "not CBOR, nested too deeply, or with a number that is not a 64-bit integer", nullptr);
    }
    return json::from_cbor(bytes.begin(), bytes.end());
}

}  // namespace waxwingnotch
