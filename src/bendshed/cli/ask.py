"""Command ``bendshed ask``."""

import asyncio
import getpass
import os
from typing import Any, ClassVar

import orjson
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from bendshed.cli.options import EXIT_BAD_INPUT, EXIT_DONE, EXIT_FAILED, json_option

TOKEN_VARIABLE = "BENDSHED_OPERATOR_TOKEN"


class AskCommand(Command):
    """Sends a statement of the operators' language to a node."""

    name = "ask"
    description = "Ask a question or give an order in the operators' language."
    help = (
        'Example: <info>bendshed ask "SHOW runners WHERE leaving = false" '
        "--node http://10.0.0.4:8080</info>\n"
        f"The operators' token is read from {TOKEN_VARIABLE}.\n"
        "Exit codes: 0 answered, 1 refused or unreachable, 2 the statement cannot be read."
    )
    arguments: ClassVar[list[Argument]] = [argument("statement", "The statement, in quotes")]
    options: ClassVar[list[Option]] = [
        option("node", None, "HTTP address of any node", flag=False, value_required=True),
        json_option(),
    ]

    def handle(self) -> int:
        """Send the statement and print the answer."""
        from bendshed.adapters.http import CONNECTION_ERRORS

        url, token = self.option("node"), os.environ.get(TOKEN_VARIABLE, "")
        if not url or not token:
            self.line_error(f"--node and the variable {TOKEN_VARIABLE} are needed")
            return EXIT_BAD_INPUT
        try:
            status, body = asyncio.run(_send_statement(url, token, self.argument("statement")))
        except CONNECTION_ERRORS as error:
            self.line_error(f"{url} does not answer: {error!r}")
            return EXIT_FAILED
        if status != 200:
            refusal = body.get("error", {})
            self.line_error(f"{refusal.get('kind')}: {refusal.get('message')}")
            return EXIT_BAD_INPUT if status == 400 else EXIT_FAILED
        if self.option("json"):
            self.line(orjson.dumps(body).decode())
        else:
            self._print_answer(body)
        return EXIT_DONE

    def _print_answer(self, body: dict[str, Any]) -> None:
        rows = body["rows"]
        if rows:
            headers = list(rows[0])
            table = self.table()
            table.set_headers(headers)
            for row in rows:
                table.add_row([str(row.get(name, "")) for name in headers])
            table.render()
        if body["message"]:
            self.line(body["message"])
        if body["silent_nodes"]:
            self.line_error(f"no reply from: {', '.join(body['silent_nodes'])}")


async def _send_statement(url: str, token: str, statement: str) -> tuple[int, dict[str, Any]]:
    from bendshed.adapters.http import HttpClient

    client = HttpClient()
    content = orjson.dumps({"statement": statement, "author": getpass.getuser()})
    headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
    try:
        answer = await client.send("POST", f"{url}/operators/ask", content, headers)
        return answer.status, orjson.loads(answer.body or b"{}")
    finally:
        await client.close()
