"""Computes what an account has left, as far as one router knows it."""

from collections.abc import Callable

from redwingchute.process.prepaid import grant as grant_lib
from redwingchute.process.prepaid import grant_fold


class AccountBalances:
    """Upper bounds of the tokens that accounts have left."""

    def __init__(
        self,
        own_host: str,
        fold: grant_fold.GrantFold,
        find_grant: Callable[[str], grant_lib.Grant],
    ) -> None:
        """Creates the balances of one router.

        Args:
          own_host: The router's host.
          fold: The rows of all hosts.
          find_grant: Returns the router's grant of an account.
        """
        self._own_host = own_host
        self._fold = fold
        self._find_grant = find_grant
        # What other routers reported as spent, by account and host.
        self._peer_spent_tokens: dict[tuple[str, str], int] = {}

    def record_peer_spent(
        self, account: str, host: str, spent_tokens: int
    ) -> None:
        """Records the spent tokens that another router reported.

        Args:
          account: The client account.
          host: The host of the other router.
          spent_tokens: All tokens of the account that it counts as spent.
        """
        key = (account, host)
        recorded_tokens = self._peer_spent_tokens.get(key, 0)
        self._peer_spent_tokens[key] = max(recorded_tokens, spent_tokens)

    def find_max_remaining(self, account: str, prepaid_tokens: int) -> int:
        """Returns an upper bound of an account's tokens for further requests.

        Subtracts what is spent or reserved at this router. For each other host
        it subtracts the spent tokens of its row, or what its router reported as
        spent if that is more. Unsure tokens of rows and of this router's grant,
        which a crashed process may not have spent, are not subtracted: the
        account may have them left.

        Args:
          account: The client account.
          prepaid_tokens: All tokens that the account has prepaid.
        """
        others_spent_tokens = sum(
            max(
                row.spent_tokens - row.unsure_tokens,
                self._peer_spent_tokens.get((account, row.host), 0),
            )
            for row in self._fold.list_rows(account)
            if row.host != self._own_host
        )
        grant = self._find_grant(account)
        own_spent_tokens = grant.committed_tokens - grant.unsure_tokens
        return prepaid_tokens - others_spent_tokens - own_spent_tokens

    def find_max_obtainable(self, account: str, prepaid_tokens: int) -> int:
        """Returns an upper bound of what requests can reserve at present.

        It is at most `find_max_remaining`: unsure tokens are subtracted, since
        no router can reserve them until they are released.

        Args:
          account: The client account.
          prepaid_tokens: All tokens that the account has prepaid.
        """
        others_spent_tokens = sum(
            max(
                row.spent_tokens,
                self._peer_spent_tokens.get((account, row.host), 0),
            )
            for row in self._fold.list_rows(account)
            if row.host != self._own_host
        )
        others_spent_tokens += self._fold.find_unaccounted(account)
        committed_tokens = self._find_grant(account).committed_tokens
        return prepaid_tokens - others_spent_tokens - committed_tokens

    def find_max_later(self, account: str, prepaid_tokens: int) -> int:
        """Returns an upper bound of what requests can reserve at any time.

        It exceeds `find_max_obtainable` by the reserved tokens of this router,
        which their requests may not consume. Unsure tokens that are released
        later are left out.

        Args:
          account: The client account.
          prepaid_tokens: All tokens that the account has prepaid.
        """
        reserved_tokens = self._find_grant(account).reserved_tokens
        return (
            self.find_max_obtainable(account, prepaid_tokens) + reserved_tokens
        )

    def sum_unsure(self, account: str) -> int:
        """Returns the tokens that count as spent at any host without proof.

        Processes that ended may not have spent them, and no router can reserve
        them.

        Args:
          account: The client account.
        """
        return self._find_grant(account).unsure_tokens + sum(
            row.unsure_tokens
            for row in self._fold.list_rows(account)
            if row.host != self._own_host
        )
