#!/bin/sh
# TROUBLE=0: the same without the kill.
cd "$(dirname "$0")" && exec env PYTHONDONTWRITEBYTECODE=1 python3 case.py
