"""The parts of the HTTP library that serve requests.

``aiohttp.web`` would also import its applications with their routes, files and
websockets, which no program of the fleet uses.
"""

from aiohttp import web_protocol, web_request, web_response, web_server

BaseRequest = web_request.BaseRequest
RequestHandler = web_protocol.RequestHandler
RequestPayloadError = web_protocol.RequestPayloadError
Response = web_response.Response
Server = web_server.Server
StreamResponse = web_response.StreamResponse
