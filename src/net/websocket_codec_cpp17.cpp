#include "waxwingnotch/net/websocket_codec.hpp"

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace waxwingnotch {

namespace {

using websocketpp::connection_hdl;

/// Framing by websocketpp with a transport that does no socket I/O. Endpoint is its client or its server.
template <class Endpoint>
class websocketpp_codec : public websocket_codec {
public:
    websocketpp_codec(handlers callbacks, std::size_t max_message_bytes) : handlers_(std::move(callbacks))
    {
        endpoint_.clear_access_channels(websocketpp::log::alevel::all);
        endpoint_.clear_error_channels(websocketpp::log::elevel::all);
        endpoint_.set_max_message_size(max_message_bytes);
        endpoint_.set_open_handler([this](const connection_hdl&) {
            open_ = true;
            handlers_.opened();
        });
        endpoint_.set_message_handler(
            [this](const connection_hdl&, const typename Endpoint::message_ptr& message) {
                handlers_.message(message->get_payload());
            });
        endpoint_.set_close_handler(
            [this](const connection_hdl&) { report_closed("WebSocket connection closed"); });
        endpoint_.set_fail_handler(
            [this](const connection_hdl&) { report_closed("WebSocket handshake failed"); });
        endpoint_.set_write_handler([this](const connection_hdl&, const char* data, std::size_t size) {
            handlers_.write(data, size);
            return std::error_code();
        });
    }

    void start() override
    {
        connection_ = connect();
        if (!connection_) {
            report_closed("cannot start the WebSocket handshake");
        }
    }

    void feed(const char* data, std::size_t size) override
    {
        if (connection_) {
            connection_->read_all(data, size);
        }
    }

    void send(const std::string& message) override
    {
        if (open_ && connection_) {
            connection_->send(message, websocketpp::frame::opcode::binary);
        }
    }

    void close(const std::string& reason) override
    {
        if (open_ && connection_) {
            std::error_code ignored;
            connection_->close(websocketpp::close::status::normal, reason, ignored);
        }
    }

    void end_of_stream() override
    {
        if (connection_) {
            connection_->eof();
        }
        report_closed("connection closed");
    }

private:
    typename Endpoint::connection_ptr connect();

    void report_closed(const std::string& reason)
    {
        if (!closed_reported_) {
            closed_reported_ = true;
            open_ = false;
            handlers_.closed(reason);
        }
    }

    Endpoint endpoint_;
    typename Endpoint::connection_ptr connection_;
    handlers handlers_;
    bool open_ = false;
    bool closed_reported_ = false;
};

using client_endpoint = websocketpp::client<websocketpp::config::core_client>;
using server_endpoint = websocketpp::server<websocketpp::config::core>;

template <>
client_endpoint::connection_ptr websocketpp_codec<client_endpoint>::connect()
{
    std::error_code problem;
    auto connection = endpoint_.get_connection("ws://peer/v1/link", problem);
    if (problem) {
        return nullptr;
    }
    connection_ = connection;
    endpoint_.connect(connection);
    return connection;
}

template <>
server_endpoint::connection_ptr websocketpp_codec<server_endpoint>::connect()
{
    auto connection = endpoint_.get_connection();
    connection->start();
    return connection;
}

}  // namespace

std::unique_ptr<websocket_codec> make_websocket_codec(websocket_role role, websocket_codec::handlers handlers,
                                                      std::size_t max_message_bytes)
{
    if (role == websocket_role::client) {
        return std::make_unique<websocketpp_codec<client_endpoint>>(std::move(handlers), max_message_bytes);
    }
    return std::make_unique<websocketpp_codec<server_endpoint>>(std::move(handlers), max_message_bytes);
}

}  // namespace waxwingnotch
