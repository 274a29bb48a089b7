"""The decisions of the data plane, by concern; both programs use them."""
