"""A bad client: requests without an id, hundreds at once, and the same number again as they are turned away.

It uses one connection, sends at full speed and reads all that it is sent. Arguments: host, port, seconds, requests at once.
Prints how many requests it sent and how many answers it read."""
import select
import socket
import sys
import time

host, port, seconds, at_once = sys.argv[1], int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4])
request = (b"POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Qos: chat\r\n"
           b"X-Expires-In-Ms: 3000\r\nContent-Length: 2\r\n\r\n{}")
until = time.monotonic() + seconds
sock = socket.create_connection((host, port), timeout=10)
sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
# All answers are alike, so answers are counted by their bytes.
sock.sendall(request)
answer = sock.recv(65536)
time.sleep(0.05)
sock.setblocking(False)
try:
    answer += sock.recv(65536)
except BlockingIOError:
    pass
sent, received, waiting = 1, len(answer), b""
batch, most = at_once // 4, at_once
try:
    while time.monotonic() < until:
        if not waiting and sent - received // len(answer) <= most - batch:
            waiting = request * batch
            sent += batch
        readable, writable, _ = select.select([sock], [sock] if waiting else [], [], 0.5)
        if readable:
            data = sock.recv(1 << 20)
            if not data:
                break
            received += len(data)
        if writable:
            waiting = waiting[sock.send(waiting):]
except OSError as error:
    print("connection ended:", error)
print("sent %d requests, read %d answers, the first: %r" % (sent, received // len(answer), answer[:40]))
