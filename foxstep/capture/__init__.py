"""Capture and replay of the decision module's inputs and orders, stored in Parquet files."""
